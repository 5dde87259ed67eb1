package org.amaranthpick.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestResult;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ConfigurationDiffTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "two-fleets.yaml");

    @Test
    void listsEachChangeWithItsFleet() throws IOException {
        String text = Files.readString(EXAMPLE);
        String changed =
                text.replaceFirst("latency: 300us", "latency: 900us")
                        .replaceFirst("minChains: 2", "minChains: 3")
                        .replaceFirst("name: office", "name: staff")
                        .replaceFirst("concurrentLoads: 4", "concurrentLoads: 8");
        Approvals.verify(ConfigurationDiff.text(ConfigurationDiff.of(load(text), load(changed))));
    }

    @Test
    void reportsNoChange() throws IOException {
        Manifest manifest = load(Files.readString(EXAMPLE));
        assertEquals(
                "no change\n", ConfigurationDiff.text(ConfigurationDiff.of(manifest, manifest)));
    }

    private static Manifest load(String text) {
        return assertInstanceOf(ManifestResult.Valid.class, ManifestLoader.load(text)).manifest();
    }
}
