package org.amaranthpick.tools;

import java.io.PrintStream;
import org.amaranthpick.core.config.ConfigurationRoot;
import org.amaranthpick.core.config.PublishResult;

/** Prints what became of a publication. */
final class PublishReport {
    private PublishReport() {}

    static int print(PublishResult result, PrintStream out, PrintStream err) {
        if (result instanceof PublishResult.Accepted accepted) {
            out.println(
                    "accepted: generation "
                            + accepted.generation()
                            + ", digest "
                            + accepted.digest()
                            + ", "
                            + accepted.chunksWritten()
                            + " chunks written");
            return ExitCode.OK;
        }
        if (result instanceof PublishResult.Unchanged unchanged) {
            out.println("unchanged: generation " + unchanged.generation() + " has this content");
            return ExitCode.OK;
        }
        if (result instanceof PublishResult.Conflict conflict) {
            ConfigurationRoot.Acceptance present = conflict.present();
            err.println(
                    "refused: "
                            + present
                            + " is in place; read it with amaranthpick diff and apply again");
            return ExitCode.REFUSED;
        }
        err.println("not accepted: " + result);
        return result instanceof PublishResult.NothingStored
                        || result instanceof PublishResult.TooLarge
                ? ExitCode.REFUSED
                : ExitCode.UNREACHABLE;
    }

    /** Returns the generation that an accepted or unchanged publication has. */
    static long generation(PublishResult result) {
        return result instanceof PublishResult.Unchanged unchanged
                ? unchanged.generation()
                : ((PublishResult.Accepted) result).generation();
    }
}
