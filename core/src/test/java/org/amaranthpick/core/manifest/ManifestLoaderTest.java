package org.amaranthpick.core.manifest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ManifestLoaderTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "two-fleets.yaml");

    @Test
    void distinguishesEqualNamesOfTwoFleets() throws IOException {
        Manifest manifest = loadValid(example());
        List<PipelineSpec> assistants =
                manifest.pipelines().stream()
                        .filter(pipeline -> pipeline.id().name().equals("assistant"))
                        .toList();
        assertEquals(2, assistants.size());
        assertNotEquals(assistants.get(0).modelVersion(), assistants.get(1).modelVersion());
        assertTrue(
                manifest.workspaces().stream()
                        .anyMatch(
                                workspace ->
                                        workspace
                                                .id()
                                                .equals(
                                                        new Identity(
                                                                "viseu",
                                                                ResourceKind.WORKSPACE,
                                                                "school"))));
    }

    @Test
    void writtenManifestLoadsAsEqualManifest() throws IOException {
        Manifest manifest = loadValid(example());
        assertEquals(manifest, loadValid(ManifestWriter.write(manifest)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "region: kl}|region: ''}|SCHEMA|/fleets/0/domains/0/region",
                "region: kl}|regoin: kl}|SCHEMA|/fleets/0/domains/0/regoin",
                "domain: zone-b, rack|domain: zone-x, rack|REFERENCE|/fleets/0/hosts/1/domain",
                "from: 0, to: 16|from: 16, to: 33|LAYERS|/fleets/0/upstreams/0/holds/0/layers",
                "from: 0, to: 16|from: 9, to: 9|VALUE|/fleets/0/upstreams/0/holds/0/layers",
                "adapter: style|adapter: viseu/style|REFERENCE|/fleets/0/pipelines/0/adapter",
                "pipelines: [assistant, drafts]|pipelines: [asistant]|REFERENCE|/fleets/0/workspaces/0/pipelines/0",
                "latency: 300us|latency: fast|SCHEMA|/fleets/0/links/1/latency",
                "bytesPerSecond: 1250000000}|bytesPerSecond: 0}|SCHEMA|/fleets/0/links/1/bytesPerSecond",
                "upstreams: [bookings-1, bookings-2]|upstreams: []|REFERENCE|/fleets/0/services/0/upstreams",
                "upstreams: [bookings-1, bookings-2]|upstreams: [engine-1]|REFERENCE|/fleets/0/services/0/upstreams/0",
                "layerWeightBytes: 500000000|layerWeightBytes: 50000000000|CAPACITY|/fleets/0/pipelines/0",
                "name: zone-b, region: kl|name: zone-a, region: other|DUPLICATE|/fleets/0/domains/1",
                "http://127.0.0.1:18100|http://engine.example:80|SCHEMA|/fleets/0/upstreams/0/address",
                "requestsPerSecond: 200|requestsPerSecond: -1|SCHEMA|/fleets/0/workspaces/0/limits/requestsPerSecond",
                "to: zone-b, latency|to: zone-q, latency|REFERENCE|/fleets/0/links/1/to",
                "name: school|name: school/x|SCHEMA|/fleets/0/workspaces/0/name",
            })
    void rejectsFaultyValueWithPositionAndRemedy(
            String valid, String faulty, ManifestFault.Kind kind, String path) throws IOException {
        String text = example().replaceFirst(java.util.regex.Pattern.quote(valid), faulty);
        assertNotEquals(example(), text);
        List<ManifestFault> faults = loadInvalid(text);
        List<ManifestFault> atPath =
                faults.stream()
                        .filter(fault -> fault.kind() == kind && fault.path().equals(path))
                        .toList();
        assertEquals(1, atPath.size(), faults.toString());
        assertTrue(
                text.lines().toList().get(atPath.get(0).line() - 1).contains(propertyName(path)));
        assertTrue(faults.stream().noneMatch(fault -> fault.remedy().isBlank()));
    }

    @Test
    void reportsAllFaultsTogether() throws IOException {
        String text =
                example()
                        .replaceFirst("adapter: style", "adapter: none")
                        .replaceFirst("latency: 300us", "latency: fast")
                        .replaceFirst("from: 0, to: 16", "from: 16, to: 33");
        List<ManifestFault> faults = loadInvalid(text);
        assertTrue(faults.size() >= 3, faults.toString());
    }

    @Test
    void rejectsCredentialSharedByTwoWorkspaces() throws IOException {
        Manifest manifest = loadValid(example());
        String firstHash = manifest.workspaces().get(0).credentialHashes().get(0);
        String lastHash = manifest.workspaces().get(3).credentialHashes().get(0);
        List<ManifestFault> faults = loadInvalid(example().replace(firstHash, lastHash));
        assertEquals(ManifestFault.Kind.CREDENTIAL, faults.get(0).kind());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "fleets: [",
                "[1]",
                "null",
                "fleets: 3",
                "{\"fleets\":[{\"name\":\"a\",\"name\":\"b\"}]}",
                "fleets: [{name: &a x}, {name: *a}]",
                "a: 1\n---\nb: 2"
            })
    void rejectsMalformedDocuments(String text) {
        assertTrue(loadInvalid(text).size() >= 1);
    }

    /** Returns the last property name of a path, which is expected on the reported line. */
    private static String propertyName(String path) {
        if (path.matches("/fleets/0/[a-z]+/\\d+")) {
            return "name";
        }
        return path.replaceFirst("(/\\d+)+$", "").replaceFirst(".*/", "");
    }

    private static String example() throws IOException {
        return Files.readString(EXAMPLE);
    }

    private static Manifest loadValid(String text) {
        ManifestResult result = ManifestLoader.load(text);
        return assertInstanceOf(ManifestResult.Valid.class, result, result.toString()).manifest();
    }

    private static List<ManifestFault> loadInvalid(String text) {
        return assertInstanceOf(ManifestResult.Invalid.class, ManifestLoader.load(text)).faults();
    }
}
