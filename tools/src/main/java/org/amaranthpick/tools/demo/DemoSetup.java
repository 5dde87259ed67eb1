package org.amaranthpick.tools.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.config.PublishResult;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.server.store.HttpObjectStore;
import org.amaranthpick.server.store.StoreSettings;
import org.amaranthpick.tools.CommandException;
import org.amaranthpick.tools.ExitCode;
import org.amaranthpick.tools.client.CommandClient;

/** Steps before a demo or soak: manifest accepted, daemons ready. */
public final class DemoSetup {
    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final Duration PAUSE = Duration.ofMillis(10);

    private DemoSetup() {}

    /**
     * Applies the manifest of the stand-ins.
     *
     * @param platform stand-ins
     * @param client client
     * @param out takes the result
     */
    public static void apply(DemoPlatform platform, CommandClient client, PrintStream out) {
        ManifestResult loaded = ManifestLoader.load(platform.manifest());
        if (!(loaded instanceof ManifestResult.Valid valid)) {
            throw new CommandException(ExitCode.REFUSED, "the demo's manifest: " + loaded);
        }
        try (ObjectStore store =
                new HttpObjectStore(
                        platform.store().address(),
                        client.worker(),
                        client.scheduler(),
                        StoreSettings.defaults())) {
            ConfigurationStore configuration =
                    new ConfigurationStore(store, client.scheduler(), new WriterTokens("demo", 1));
            PublishResult result =
                    configuration
                            .publish(valid.manifest(), OptionalLong.of(0))
                            .toCompletableFuture()
                            .orTimeout(WAIT.toSeconds(), TimeUnit.SECONDS)
                            .join();
            out.println("manifest of both fleets, with the same names: " + result);
        }
    }

    /**
     * Waits until every daemon is ready.
     *
     * @param daemons daemons
     */
    public static void awaitReady(DemoDaemons daemons) {
        long endNs = System.nanoTime() + WAIT.toNanos();
        while (!daemons.all().stream().allMatch(daemon -> daemon.notReady().isEmpty())) {
            if (System.nanoTime() > endNs) {
                throw new CommandException(ExitCode.UNREACHABLE, "the daemons are not ready");
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }
}
