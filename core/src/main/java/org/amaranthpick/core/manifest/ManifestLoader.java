package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.IllegalNameException;
import org.amaranthpick.core.name.ResourceKind;

/** Loads a manifest from JSON or YAML. A manifest with any fault is rejected as a whole. */
public final class ManifestLoader {
    private ManifestLoader() {}

    /**
     * Loads and checks a manifest.
     *
     * @param text JSON or YAML document
     * @return the manifest, or every fault found
     */
    public static ManifestResult load(String text) {
        DocumentParser parsed = DocumentParser.parse(text);
        if (!parsed.faults().isEmpty()) {
            return new ManifestResult.Invalid(parsed.faults());
        }
        ManifestDocument document = parsed.document();
        FaultList faults = new FaultList(document);
        SchemaCheck.check(document, faults);
        ManifestDraft draft = readFleets(List.of(document.root()), faults);
        new ReferenceCheck(draft, faults).check();
        new CapacityCheck(draft, faults).check();
        if (!faults.isEmpty()) {
            return new ManifestResult.Invalid(faults.sorted());
        }
        return new ManifestResult.Valid(draft.toManifest());
    }

    /**
     * Joins the stored parts of a manifest. The whole manifest was validated before it was split,
     * so only malformed values and duplicates are checked here.
     *
     * @param parts documents of the manifest format
     * @return the joined manifest
     * @throws IllegalArgumentException if a value is malformed or the parts contradict each other
     */
    public static Manifest join(List<JsonNode> parts) {
        FaultList faults = new FaultList(new ManifestDocument(parts.get(0), Map.of()));
        ManifestDraft draft = readFleets(parts, faults);
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(
                    "stored manifest is faulty; apply the manifest again: "
                            + faults.sorted().get(0).text());
        }
        return draft.toManifest();
    }

    /**
     * Returns the published JSON Schema.
     *
     * @return schema text
     */
    public static String schema() {
        return SchemaCheck.schemaText();
    }

    private static ManifestDraft readFleets(List<JsonNode> parts, FaultList faults) {
        ManifestDraft draft = new ManifestDraft();
        FleetReader reader = new FleetReader(draft, faults);
        for (JsonNode part : parts) {
            for (ManifestValue fleet : fleets(part)) {
                if (!faults.hasFaultWithin(fleet.pointer() + "/name")) {
                    readFleet(reader, fleet, faults);
                }
            }
        }
        return draft;
    }

    private static void readFleet(FleetReader reader, ManifestValue fleet, FaultList faults) {
        try {
            // The identity serves only to normalise and check the fleet name.
            String name = new Identity(fleet.textValue("name"), ResourceKind.DOMAIN, "x").fleet();
            reader.read(new ManifestValue(name, fleet.node(), fleet.pointer()));
        } catch (IllegalNameException e) {
            faults.add(
                    fleet.pointer() + "/name",
                    ManifestFault.Kind.NAME,
                    e.getMessage(),
                    "correct the name");
        }
    }

    private static List<ManifestValue> fleets(JsonNode part) {
        List<ManifestValue> fleets = new ArrayList<>();
        for (JsonNode fleet : part.path("fleets")) {
            fleets.add(new ManifestValue("", fleet, "/fleets/" + fleets.size()));
        }
        return fleets;
    }
}
