package org.amaranthpick.core.upstream;

import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * One generated token as told by the last stage.
 *
 * @param requestId id of the request
 * @param attempt attempt number
 * @param index index of the token in the whole answer, from 0
 * @param text text of the token
 * @param trace layers that the token passed, in the order in which they ran
 */
public record TokenFrame(
        String requestId, int attempt, int index, String text, List<LayerRange> trace) {
    /** Copies the list. */
    public TokenFrame {
        trace = List.copyOf(trace);
    }
}
