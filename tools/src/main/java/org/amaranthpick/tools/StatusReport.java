package org.amaranthpick.tools;

import java.util.Locale;
import org.amaranthpick.server.operator.DaemonStatus;

/** Lays out a daemon's status as text. */
final class StatusReport {
    private StatusReport() {}

    static String text(DaemonStatus status) {
        StringBuilder text = new StringBuilder();
        line(text, "host        %s in %s", status.host(), status.domain());
        line(text, "state       %s", status.state());
        line(text, "generation  %d %s", status.generation(), status.digest());
        line(text, "requests    %d in progress", status.requestsInProgress());
        line(text, "violations  %d", status.invariantViolations());
        line(text, "members     %d", status.members().size());
        for (DaemonStatus.MemberStatus member : status.members()) {
            line(text, "  %-24s %-16s %s", member.host(), member.domain(), member.state());
        }
        line(text, "upstreams   %d", status.upstreams().size());
        for (DaemonStatus.UpstreamState upstream : status.upstreams()) {
            line(
                    text,
                    "  %-24s %-10s%s %d streams, report %d ms old",
                    upstream.upstream(),
                    upstream.reachability(),
                    upstream.leaving() ? " leaving" : "",
                    upstream.runningStreams(),
                    upstream.reportAgeMs());
        }
        return text.toString();
    }

    @com.google.errorprone.annotations.FormatMethod
    private static void line(StringBuilder text, String format, Object... args) {
        text.append(String.format(Locale.ROOT, format, args)).append('\n');
    }
}
