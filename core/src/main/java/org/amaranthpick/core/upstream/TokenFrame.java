package org.amaranthpick.core.upstream;

import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Generated token as sent by the last stage.
 *
 * @param requestId id of the request
 * @param attempt attempt number
 * @param index index of the token in the complete answer, from 0
 * @param text text of the token
 * @param trace layers that processed the token, in the order in which they ran
 */
public record TokenFrame(
        String requestId, int attempt, int index, String text, List<LayerRange> trace) {
    /** Creates the frame with a copy of the list. */
    public TokenFrame {
        trace = List.copyOf(trace);
    }
}
