package org.amaranthpick.core.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * Message between two daemons.
 *
 * @param sender address at which the sender accepts messages, empty string if it accepts none
 * @param wantsReply whether the sender asks for all parts in quarantine
 * @param reports what the sender knows of some parts
 */
public record QuarantineMessage(String sender, boolean wantsReply, List<PartReport> reports) {
    /** Copies the list and refuses incomplete messages, as they may come from elsewhere. */
    public QuarantineMessage {
        Objects.requireNonNull(sender, "a message must name its sender");
        Objects.requireNonNull(reports, "a message must hold reports");
        reports = List.copyOf(reports);
    }
}
