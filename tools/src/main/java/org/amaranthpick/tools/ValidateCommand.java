package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.Optional;
import org.amaranthpick.core.manifest.Manifest;

/** Checks a manifest without changing anything. */
@com.github.rvesse.airline.annotations.Command(
        name = "validate",
        description = "Check a manifest and list every fault")
public final class ValidateCommand implements Command {
    @Arguments(title = "FILE", description = "Manifest, JSON or YAML")
    @Required
    private String mFile;

    @Override
    public int run(PrintStream out, PrintStream err) {
        Optional<Manifest> manifest = ManifestFile.load(mFile, err);
        manifest.ifPresent(
                m ->
                        out.println(
                                "valid: "
                                        + m.fleets().size()
                                        + " fleets, "
                                        + m.upstreams().size()
                                        + " upstreams, "
                                        + m.workspaces().size()
                                        + " workspaces"));
        return manifest.isPresent() ? ExitCode.OK : ExitCode.REFUSED;
    }
}
