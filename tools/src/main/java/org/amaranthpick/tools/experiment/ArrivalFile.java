package org.amaranthpick.tools.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Recorded requests: one a line, its fields as the head of the file names them. */
public final class ArrivalFile {
    private static final String HEAD = "at_ms,domain,caller,prompt_tokens,answer_tokens";
    private static final int FIELDS = 5;

    private ArrivalFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return requests, in order of their time
     * @throws IOException if the file cannot be read or a line is malformed
     */
    public static List<Arrival> read(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        if (lines.isEmpty() || !lines.get(0).equals(HEAD)) {
            throw new IOException("the first line is not " + HEAD);
        }
        List<Arrival> arrivals = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            arrivals.add(arrival(line));
        }
        return arrivals;
    }

    private static Arrival arrival(String line) throws IOException {
        String[] fields = line.split(",", -1);
        if (fields.length != FIELDS) {
            throw new IOException("line \"" + line + "\" has not " + FIELDS + " fields");
        }
        try {
            return new Arrival(
                    Double.parseDouble(fields[0]),
                    fields[1],
                    Integer.parseInt(fields[2]),
                    Integer.parseInt(fields[3]),
                    Integer.parseInt(fields[4]),
                    0);
        } catch (NumberFormatException e) {
            throw new IOException("line \"" + line + "\" has a field that is no number", e);
        }
    }
}
