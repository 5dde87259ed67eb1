package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.ConfigurationChange;
import org.amaranthpick.core.config.ConfigurationDiff;
import org.amaranthpick.core.config.LoadResult;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.tools.client.CommandClient;

/** Shows what applying a manifest would change. */
@com.github.rvesse.airline.annotations.Command(
        name = "diff",
        description = "Show what applying a manifest would change")
public final class DiffCommand implements Command {
    @AirlineModule private StoreOptions mStore = new StoreOptions();

    @Arguments(title = "FILE", description = "Manifest, JSON or YAML")
    @Required
    private String mFile;

    @Override
    public int run(PrintStream out, PrintStream err) {
        Optional<Manifest> manifest = ManifestFile.load(mFile, err);
        if (manifest.isEmpty()) {
            return ExitCode.REFUSED;
        }
        try (CommandClient client = new CommandClient();
                ObjectStore store = mStore.open(client)) {
            LoadResult present =
                    mStore.configuration(client, store).load().toCompletableFuture().join();
            if (present instanceof LoadResult.Unavailable unavailable) {
                err.println("the store gives no configuration: " + unavailable.reason());
                return ExitCode.UNREACHABLE;
            }
            print(present, manifest.get(), out);
            return ExitCode.OK;
        }
    }

    private static void print(LoadResult present, Manifest next, PrintStream out) {
        if (!(present instanceof LoadResult.Loaded loaded)) {
            out.println("no generation is in place; everything would be added");
            return;
        }
        List<ConfigurationChange> changes =
                ConfigurationDiff.of(loaded.configuration().manifest(), next);
        long generation = loaded.configuration().generation();
        out.println("against generation " + generation + ": " + changes.size() + " changes");
        changes.forEach(change -> out.println(change.text()));
    }
}
