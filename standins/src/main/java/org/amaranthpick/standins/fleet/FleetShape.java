package org.amaranthpick.standins.fleet;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.amaranthpick.core.gateway.EngineModel;

/**
 * Shape of a fleet: what engines there are, and what callers ask of them.
 *
 * @param name name in reports
 * @param model figures of the model and the cards
 * @param engines engines
 * @param entries entry hosts and callers
 * @param firstEventMs objective of the first event
 * @param pauseMs longest pause of a stream that is on time
 * @param deadlineMs time that callers wait
 * @param lateWorth worth of a late answer against one on time
 */
public record FleetShape(
        String name,
        EngineModel model,
        List<EngineGroup> engines,
        List<EntryGroup> entries,
        int firstEventMs,
        int pauseMs,
        int deadlineMs,
        double lateWorth) {
    /** Copies the lists. */
    public FleetShape {
        engines = List.copyOf(engines);
        entries = List.copyOf(entries);
    }

    /**
     * Reads a shape.
     *
     * @param file JSON file with the fields of this record
     * @return shape
     * @throws IOException if the file cannot be read or a field has another type
     */
    public static FleetShape read(Path file) throws IOException {
        return JsonMapper.builder().build().readValue(Files.readAllBytes(file), FleetShape.class);
    }
}
