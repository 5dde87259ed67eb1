package org.amaranthpick.soak;

import java.util.List;
import java.util.Locale;

/**
 * Outcome of one seed.
 *
 * @param seed seed
 * @param calls requests
 * @param answered requests answered whole with success
 * @param notRun requests said not to have run
 * @param open requests whose fate the caller was not told
 * @param broken broken promises
 */
public record SoakResult(
        long seed, int calls, long answered, long notRun, long open, List<String> broken) {
    /** Copies the list. */
    public SoakResult {
        broken = List.copyOf(broken);
    }

    /**
     * Writes one line, and one for each broken promise.
     *
     * @return lines
     */
    public String report() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "seed %d: calls=%d answered=%d not_run=%d open=%d broken=%d",
                        seed,
                        calls,
                        answered,
                        notRun,
                        open,
                        broken.size()));
        broken.forEach(line -> text.append(System.lineSeparator()).append("  ").append(line));
        return text.toString();
    }
}
