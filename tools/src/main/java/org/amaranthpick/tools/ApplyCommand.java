package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.config.PublishResult;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.tools.client.CommandClient;

/** Makes a manifest the configuration; returns when it is accepted. */
@com.github.rvesse.airline.annotations.Command(
        name = "apply",
        description = "Make a manifest the configuration of both fleets")
public final class ApplyCommand implements Command {
    @AirlineModule private StoreOptions mStore = new StoreOptions();

    @Option(
            name = "--expect-generation",
            description = "Refuse if another generation is in place; 0 expects none.")
    private Long mExpectGeneration;

    @AirlineModule private OperatorOptions mDaemon = new OperatorOptions();

    @Option(
            name = "--wait",
            description = "Seconds to wait until it is in force on every live daemon; 0 for none.")
    private int mWaitSeconds;

    @Arguments(title = "FILE", description = "Manifest, JSON or YAML")
    @Required
    private String mFile;

    @Override
    public int run(PrintStream out, PrintStream err) {
        Optional<Manifest> manifest = ManifestFile.load(mFile, err);
        if (manifest.isEmpty()) {
            return ExitCode.REFUSED;
        }
        OptionalLong expected =
                mExpectGeneration == null
                        ? OptionalLong.empty()
                        : OptionalLong.of(mExpectGeneration);
        try (CommandClient client = new CommandClient();
                ObjectStore store = mStore.open(client)) {
            PublishResult result =
                    mStore.configuration(client, store)
                            .publish(manifest.get(), expected)
                            .toCompletableFuture()
                            .join();
            int code = PublishReport.print(result, out, err);
            if (code != ExitCode.OK || mWaitSeconds == 0) {
                return code;
            }
            return new InForceWait(mDaemon, Duration.ofSeconds(mWaitSeconds))
                    .until(PublishReport.generation(result), out, err);
        }
    }
}
