package org.amaranthpick.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestFault;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestResult;

/** Loads the manifest that a command names. */
final class ManifestFile {
    private ManifestFile() {}

    /**
     * Loads a manifest and prints its faults.
     *
     * @param file path of the manifest
     * @param err takes every fault with position and remedy
     * @return manifest, empty if it is refused
     */
    static Optional<Manifest> load(String file, PrintStream err) {
        ManifestResult result = ManifestLoader.load(read(file));
        if (result instanceof ManifestResult.Valid valid) {
            return Optional.of(valid.manifest());
        }
        for (ManifestFault fault : ((ManifestResult.Invalid) result).faults()) {
            err.println(file + ":" + fault.text());
        }
        return Optional.empty();
    }

    private static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, file + " cannot be read: " + e.getMessage());
        }
    }
}
