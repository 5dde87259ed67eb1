package org.amaranthpick.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ManifestChunks;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.ManifestLoader;
import org.amaranthpick.core.manifest.ManifestResult;
import org.amaranthpick.core.manifest.ManifestWriter;

/** Time and memory of loading, splitting, publishing and installing a manifest of target size. */
public final class ManifestScaling {
    private static final int[][] SIZES = {{20, 86, 2}, {350, 625, 4}, {1400, 2500, 12}};
    private static final int RUNS = 20;

    private ManifestScaling() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.printf(
                "%10s %9s %6s | %9s %9s %9s %9s %9s | %7s %9s %9s | %9s %9s%n",
                "workspaces",
                "upstreams",
                "models",
                "json_B",
                "load_ms",
                "yaml_ms",
                "split_ms",
                "join_ms",
                "chunks",
                "max_B",
                "chg_B",
                "chunks_MB",
                "config_MB");
        for (int[] size : SIZES) {
            measure(size[0], size[1], size[2]);
        }
    }

    private static void measure(int workspaces, int upstreams, int models) {
        String json = ManifestWriter.write(TargetManifest.of(workspaces, upstreams, models, 1));
        double loadMs = medianMs(() -> load(json));
        String yaml = toYaml(json);
        double yamlMs = medianMs(() -> load(yaml));
        Manifest manifest = load(json);
        double splitMs = medianMs(() -> ManifestChunks.split(manifest));
        ManifestChunks chunks = ManifestChunks.split(manifest);
        double joinMs = medianMs(() -> install(chunks));
        long before = usedBytes();
        ManifestChunks held = ManifestChunks.split(manifest);
        long chunkBytes = usedBytes() - before;
        Configuration configuration = install(held);
        long configurationBytes = usedBytes() - before - chunkBytes;
        int largest = held.chunks().values().stream().mapToInt(b -> b.length).max().orElse(0);
        System.out.printf(
                "%10d %9d %6d | %9d %9.1f %9.1f %9.1f %9.1f | %7d %9d %9d | %9.2f %9.2f%n",
                workspaces,
                upstreams,
                models,
                json.length(),
                loadMs,
                yamlMs,
                splitMs,
                joinMs,
                held.chunks().size(),
                largest,
                changedBytes(workspaces, upstreams, models),
                chunkBytes / 1e6,
                configurationBytes / 1e6);
        if (configuration.generation() != 1 || held.chunks().isEmpty()) {
            throw new IllegalStateException("the content was lost");
        }
    }

    /** Returns the bytes written when one workspace changes. */
    private static long changedBytes(int workspaces, int upstreams, int models) {
        ManifestChunks first =
                ManifestChunks.split(TargetManifest.of(workspaces, upstreams, models, 1));
        ManifestChunks second =
                ManifestChunks.split(TargetManifest.of(workspaces, upstreams, models, 2));
        return second.chunks().entrySet().stream()
                .filter(e -> !first.chunks().containsKey(e.getKey()))
                .mapToLong(e -> e.getValue().length)
                .sum();
    }

    private static Configuration install(ManifestChunks chunks) {
        return new Configuration(1, chunks.digest(), ManifestChunks.join(chunks.chunks().values()));
    }

    private static Manifest load(String json) {
        ManifestResult result = ManifestLoader.load(json);
        if (result instanceof ManifestResult.Valid valid) {
            return valid.manifest();
        }
        throw new IllegalStateException(result.toString());
    }

    private static String toYaml(String json) {
        try {
            JsonNode node = new ObjectMapper().readTree(json);
            return new YAMLMapper().writeValueAsString(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double medianMs(Runnable work) {
        List<Long> timesNs = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            long startNs = System.nanoTime();
            work.run();
            timesNs.add(System.nanoTime() - startNs);
        }
        timesNs.sort(null);
        return timesNs.get(RUNS / 2) / 1e6;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
