package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.IllegalNameException;
import org.amaranthpick.core.name.ResourceKind;

/** Loads a manifest from JSON or YAML. A manifest with any fault is refused whole. */
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
            return new ManifestResult.Refused(parsed.faults());
        }
        ManifestDocument document = parsed.document();
        FaultList faults = new FaultList(document);
        SchemaCheck.check(document, faults);
        ManifestDraft draft = read(List.of(document.root()), faults);
        new ReferenceCheck(draft, faults).check();
        new SizeCheck(draft, faults).check();
        if (!faults.isEmpty()) {
            return new ManifestResult.Refused(faults.sorted());
        }
        return new ManifestResult.Valid(draft.toManifest());
    }

    /**
     * Joins parts of a manifest that was checked before it was split.
     *
     * @param parts documents of the manifest format
     * @return the whole manifest
     * @throws IllegalArgumentException if the parts contradict each other
     */
    public static Manifest join(List<JsonNode> parts) {
        FaultList faults = new FaultList(new ManifestDocument(parts.get(0), Map.of()));
        ManifestDraft draft = read(parts, faults);
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(
                    "stored manifest is faulty, apply it again: " + faults.sorted().get(0).text());
        }
        return draft.toManifest();
    }

    /**
     * Returns the published JSON Schema.
     *
     * @return schema text
     */
    public static String schema() {
        return SchemaCheck.text();
    }

    private static ManifestDraft read(List<JsonNode> parts, FaultList faults) {
        ManifestDraft draft = new ManifestDraft();
        FleetReader reader = new FleetReader(draft, faults);
        for (JsonNode part : parts) {
            for (Cursor fleet : fleets(part)) {
                if (!faults.within(fleet.pointer() + "/name")) {
                    readFleet(reader, fleet, faults);
                }
            }
        }
        return draft;
    }

    private static void readFleet(FleetReader reader, Cursor fleet, FaultList faults) {
        try {
            String name = new Identity(fleet.text("name"), ResourceKind.DOMAIN, "x").fleet();
            reader.read(new Cursor(name, fleet.node(), fleet.pointer()));
        } catch (IllegalNameException e) {
            faults.add(
                    fleet.pointer() + "/name",
                    ManifestFault.Kind.NAME,
                    e.getMessage(),
                    "correct the name");
        }
    }

    private static List<Cursor> fleets(JsonNode part) {
        List<Cursor> fleets = new ArrayList<>();
        for (JsonNode fleet : part.path("fleets")) {
            fleets.add(new Cursor("", fleet, "/fleets/" + fleets.size()));
        }
        return fleets;
    }
}
