package org.amaranthpick.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;

/**
 * Tree over the daemons of one domain along which the notice of a generation is forwarded. The
 * order of the daemons differs between generations, so that the forwarding load is shared evenly.
 */
final class BroadcastTree {
    private static final int FAN_OUT = 4;

    private BroadcastTree() {}

    /**
     * Returns the daemons to which one daemon forwards the notice.
     *
     * @param generation generation of the notice
     * @param origin daemon at the root of the tree
     * @param self daemon that forwards
     * @param domain live daemons of the domain
     * @return up to {@link #FAN_OUT} hosts
     */
    static List<Identity> children(
            long generation, Identity origin, Identity self, Collection<Member> domain) {
        List<Identity> order = new ArrayList<>();
        order.add(origin);
        for (Member member : Rendezvous.rank("spread " + generation, domain, domain.size())) {
            if (!member.host().equals(origin)) {
                order.add(member.host());
            }
        }
        int position = order.indexOf(self);
        if (position < 0) {
            return List.of();
        }
        int from = Math.min(order.size(), position * FAN_OUT + 1);
        int to = Math.min(order.size(), from + FAN_OUT);
        return order.subList(from, to);
    }
}
