package org.amaranthpick.tools;

import java.util.List;
import org.amaranthpick.server.operator.DaemonStatus;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class StatusReportTest {
    @Test
    void everyPartHasItsLine() {
        DaemonStatus status =
                new DaemonStatus(
                        "kenanga/entry-1",
                        "kenanga/kl-a",
                        "draining",
                        41,
                        "0a1b2c",
                        3,
                        0,
                        List.of(
                                new DaemonStatus.MemberStatus(
                                        "kenanga/entry-1", "kenanga/kl-a", "leaving"),
                                new DaemonStatus.MemberStatus(
                                        "viseu/entry-1", "viseu/viseu-a", "alive")),
                        List.of(
                                new DaemonStatus.UpstreamState(
                                        "kenanga/engine-1", "reachable", false, 12, 340),
                                new DaemonStatus.UpstreamState(
                                        "viseu/engine-1", "lost", true, 0, 9_800)));
        Approvals.verify(StatusReport.text(status));
    }
}
