package org.amaranthpick.core.config;

import java.util.HexFormat;
import java.util.List;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Manifests for tests. */
final class Manifests {
    private Manifests() {}

    /** Returns a manifest with workspaces; the weight of the first one is the marker. */
    static Manifest of(int workspaces, int marker) {
        List<WorkspaceSpec> specs =
                java.util.stream.IntStream.range(0, workspaces)
                        .mapToObj(i -> workspace(i, i == 0 ? marker : 1))
                        .toList();
        return new Manifest(
                List.of("f"),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                specs,
                List.of());
    }

    /** Returns the marker of a configuration. */
    static int marker(Configuration configuration) {
        return configuration.manifest().workspaces().get(0).weight();
    }

    private static WorkspaceSpec workspace(int number, int weight) {
        Identity id = new Identity("f", ResourceKind.WORKSPACE, String.format("w-%05d", number));
        String hash = HexFormat.of().formatHex(new byte[28]) + String.format("%08x", number);
        return new WorkspaceSpec(
                id, List.of(hash), new WorkspaceSpec.Limits(1, 1, 1), weight, List.of(), List.of());
    }
}
