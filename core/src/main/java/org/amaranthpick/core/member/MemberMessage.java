package org.amaranthpick.core.member;

import java.util.List;
import java.util.Map;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/** Membership messages between daemons. */
public sealed interface MemberMessage extends PeerMessage {
    int TAG_PING = 1;
    int TAG_ACK = 2;
    int TAG_PROBE_REQUEST = 3;
    int TAG_PROBE_REPLY = 4;
    int TAG_JOIN = 5;
    int TAG_TABLE_REQUEST = 6;
    int TAG_DOMAIN_TABLE = 7;
    int TAG_DOMAIN_HEARTBEAT = 8;
    int TAG_URGENT_UPDATES = 9;

    /**
     * Membership changes sent to other daemons.
     *
     * @param members records of daemons
     * @param notices leaving notices
     * @param reports domains that relays cannot reach
     */
    record Updates(
            List<Member> members, List<LeavingNotice> notices, List<UnreachableReport> reports) {
        /** No changes. */
        public static final Updates NONE = new Updates(List.of(), List.of(), List.of());

        /** Copies the lists. */
        public Updates {
            members = List.copyOf(members);
            notices = List.copyOf(notices);
            reports = List.copyOf(reports);
        }

        /**
         * Returns whether there are no changes.
         *
         * @return true if all lists are empty
         */
        public boolean isEmpty() {
            return members.isEmpty() && notices.isEmpty() && reports.isEmpty();
        }

        /**
         * Returns only the daemons that are leaving and the notices about hosts and upstreams.
         *
         * @return these changes without the others
         */
        public Updates leavingOnly() {
            return new Updates(membersIn(MemberState.LEAVING), notices, List.of());
        }

        /**
         * Returns only the daemons that are dead.
         *
         * @return these changes without the others
         */
        public Updates deadOnly() {
            return new Updates(membersIn(MemberState.DEAD), List.of(), List.of());
        }

        private List<Member> membersIn(MemberState state) {
            return members.stream().filter(m -> m.state() == state).toList();
        }
    }

    /**
     * Domains that one relay cannot reach.
     *
     * @param reporter relay
     * @param sequence grows with each report of the relay
     * @param unreachable domains from which no heartbeat arrived within the domain timeout
     */
    record UnreachableReport(Identity reporter, long sequence, List<Identity> unreachable) {
        /** Copies the list. */
        public UnreachableReport {
            unreachable = List.copyOf(unreachable);
        }
    }

    /**
     * State of the sender that every heartbeat carries.
     *
     * @param generation configuration generation in force at the sender
     * @param tableDigest digest of the sender's member and leaving tables
     * @param updates changes
     */
    record Heartbeat(long generation, long tableDigest, Updates updates) {}

    /**
     * Probe of a daemon of the same domain.
     *
     * @param sequence number of the probe
     * @param heartbeat heartbeat of the sender
     */
    record Ping(long sequence, Heartbeat heartbeat) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_PING;
        }
    }

    /**
     * Reply to a ping.
     *
     * @param sequence number of the ping
     * @param heartbeat heartbeat of the sender
     */
    record Ack(long sequence, Heartbeat heartbeat) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_ACK;
        }
    }

    /**
     * Asks a third daemon to probe a target on behalf of the sender.
     *
     * @param sequence number of the probe
     * @param target daemon that did not reply
     */
    record ProbeRequest(long sequence, Identity target) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_PROBE_REQUEST;
        }
    }

    /**
     * Reports that the target of a probe request replied.
     *
     * @param sequence number of the probe
     * @param target daemon that replied
     */
    record ProbeReply(long sequence, Identity target) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_PROBE_REPLY;
        }
    }

    /**
     * Announces a daemon that joins; the receiver replies with its tables.
     *
     * @param member record of the sender
     */
    record Join(Member member) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_JOIN;
        }
    }

    /**
     * Asks for the tables of domains whose digests differ.
     *
     * @param digests the sender's digests by domain
     */
    record TableRequest(Map<Identity, Long> digests) implements MemberMessage {
        /** Copies the map. */
        public TableRequest {
            digests = Map.copyOf(digests);
        }

        @Override
        public int tag() {
            return TAG_TABLE_REQUEST;
        }
    }

    /**
     * Member records and leaving notices of one domain, dead daemons included.
     *
     * @param domain the domain
     * @param members its records
     * @param notices its leaving notices
     */
    record DomainTable(Identity domain, List<Member> members, List<LeavingNotice> notices)
            implements MemberMessage {
        /** Copies the lists. */
        public DomainTable {
            members = List.copyOf(members);
            notices = List.copyOf(notices);
        }

        @Override
        public int tag() {
            return TAG_DOMAIN_TABLE;
        }
    }

    /**
     * Heartbeat of one domain to another; its digest and updates are of the sender's domain only.
     *
     * @param domain domain of the sender
     * @param heartbeat heartbeat of the sender
     */
    record DomainHeartbeat(Identity domain, Heartbeat heartbeat) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_DOMAIN_HEARTBEAT;
        }
    }

    /**
     * Membership changes that must not wait for the next heartbeat.
     *
     * @param updates changes
     */
    record UrgentUpdates(Updates updates) implements MemberMessage {
        @Override
        public int tag() {
            return TAG_URGENT_UPDATES;
        }
    }
}
