package org.amaranthpick.core.member;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.member.MemberMessage.Ack;
import org.amaranthpick.core.member.MemberMessage.DomainHeartbeat;
import org.amaranthpick.core.member.MemberMessage.DomainTable;
import org.amaranthpick.core.member.MemberMessage.Heartbeat;
import org.amaranthpick.core.member.MemberMessage.Join;
import org.amaranthpick.core.member.MemberMessage.Ping;
import org.amaranthpick.core.member.MemberMessage.ProbeReply;
import org.amaranthpick.core.member.MemberMessage.ProbeRequest;
import org.amaranthpick.core.member.MemberMessage.TableRequest;
import org.amaranthpick.core.member.MemberMessage.UnreachableReport;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.member.MemberMessage.UrgentUpdates;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.MessageFields;
import org.amaranthpick.core.peer.RecordCodec;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codecs of the membership messages. */
public final class MemberCodecs {
    private static final int MAX_MEMBERS = 20_000;
    private static final int MAX_DOMAINS = 1_000;
    private static final int MAX_TEXT_BYTES = 400;

    /** The index of a state is its number on the wire; new states are appended. */
    private static final List<MemberState> STATES =
            List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD);

    private MemberCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return one codec per message type
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new RecordCodec<Ping>(
                        MemberMessage.TAG_PING,
                        2,
                        (m, p) -> packHeartbeat(p.packLong(m.sequence()), m.heartbeat()),
                        u -> new Ping(u.unpackLong(), unpackHeartbeat(u))),
                new RecordCodec<Ack>(
                        MemberMessage.TAG_ACK,
                        2,
                        (m, p) -> packHeartbeat(p.packLong(m.sequence()), m.heartbeat()),
                        u -> new Ack(u.unpackLong(), unpackHeartbeat(u))),
                new RecordCodec<ProbeRequest>(
                        MemberMessage.TAG_PROBE_REQUEST,
                        2,
                        (m, p) -> MessageFields.packIdentity(m.target(), p.packLong(m.sequence())),
                        u -> new ProbeRequest(u.unpackLong(), MessageFields.unpackIdentity(u))),
                new RecordCodec<ProbeReply>(
                        MemberMessage.TAG_PROBE_REPLY,
                        2,
                        (m, p) -> MessageFields.packIdentity(m.target(), p.packLong(m.sequence())),
                        u -> new ProbeReply(u.unpackLong(), MessageFields.unpackIdentity(u))),
                new RecordCodec<Join>(
                        MemberMessage.TAG_JOIN,
                        1,
                        (m, p) -> packMember(m.member(), p),
                        u -> new Join(unpackMember(u))),
                new RecordCodec<TableRequest>(
                        MemberMessage.TAG_TABLE_REQUEST,
                        1,
                        (m, p) -> packDigests(m.digests(), p),
                        u -> new TableRequest(unpackDigests(u))),
                new RecordCodec<DomainTable>(
                        MemberMessage.TAG_DOMAIN_TABLE,
                        3,
                        MemberCodecs::packTable,
                        MemberCodecs::unpackTable),
                new RecordCodec<DomainHeartbeat>(
                        MemberMessage.TAG_DOMAIN_HEARTBEAT,
                        2,
                        MemberCodecs::packDomainHeartbeat,
                        MemberCodecs::unpackDomainHeartbeat),
                new RecordCodec<UrgentUpdates>(
                        MemberMessage.TAG_URGENT_UPDATES,
                        1,
                        (m, p) -> packUpdates(m.updates(), p),
                        u -> new UrgentUpdates(unpackUpdates(u))));
    }

    private static void packDomainHeartbeat(DomainHeartbeat domainHeartbeat, MessagePacker packer)
            throws IOException {
        MessageFields.packIdentity(domainHeartbeat.domain(), packer);
        packHeartbeat(packer, domainHeartbeat.heartbeat());
    }

    private static DomainHeartbeat unpackDomainHeartbeat(MessageUnpacker unpacker)
            throws IOException {
        return new DomainHeartbeat(
                MessageFields.unpackIdentity(unpacker), unpackHeartbeat(unpacker));
    }

    private static void packTable(DomainTable table, MessagePacker packer) throws IOException {
        MessageFields.packIdentity(table.domain(), packer);
        MessageFields.packList(table.members(), packer, MemberCodecs::packMember);
        MessageFields.packList(table.notices(), packer, MemberCodecs::packNotice);
    }

    private static DomainTable unpackTable(MessageUnpacker unpacker) throws IOException {
        return new DomainTable(
                MessageFields.unpackIdentity(unpacker),
                MessageFields.unpackList(unpacker, MAX_MEMBERS, MemberCodecs::unpackMember),
                MessageFields.unpackList(unpacker, MAX_MEMBERS, MemberCodecs::unpackNotice));
    }

    private static void packHeartbeat(MessagePacker packer, Heartbeat heartbeat)
            throws IOException {
        packer.packArrayHeader(3).packLong(heartbeat.generation());
        packer.packLong(heartbeat.tableDigest());
        packUpdates(heartbeat.updates(), packer);
    }

    private static Heartbeat unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, 3);
        Heartbeat heartbeat =
                new Heartbeat(
                        unpacker.unpackLong(), unpacker.unpackLong(), unpackUpdates(unpacker));
        MessageFields.skipExtra(unpacker, extra);
        return heartbeat;
    }

    private static void packUpdates(Updates updates, MessagePacker packer) throws IOException {
        packer.packArrayHeader(3);
        MessageFields.packList(updates.members(), packer, MemberCodecs::packMember);
        MessageFields.packList(updates.notices(), packer, MemberCodecs::packNotice);
        MessageFields.packList(updates.reports(), packer, MemberCodecs::packReport);
    }

    private static Updates unpackUpdates(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, 3);
        Updates updates =
                new Updates(
                        MessageFields.unpackList(unpacker, MAX_MEMBERS, MemberCodecs::unpackMember),
                        MessageFields.unpackList(unpacker, MAX_MEMBERS, MemberCodecs::unpackNotice),
                        MessageFields.unpackList(
                                unpacker, MAX_MEMBERS, MemberCodecs::unpackReport));
        MessageFields.skipExtra(unpacker, extra);
        return updates;
    }

    private static void packMember(Member member, MessagePacker packer) throws IOException {
        packer.packArrayHeader(7);
        MessageFields.packIdentity(member.host(), packer);
        packer.packString(member.address().ip()).packInt(member.address().port());
        MessageFields.packIdentity(member.domain(), packer);
        packer.packString(member.region()).packLong(member.incarnation());
        packer.packInt(STATES.indexOf(member.state()));
    }

    private static Member unpackMember(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, 7);
        Identity host = MessageFields.unpackIdentity(unpacker);
        String ip = MessageFields.unpackText(unpacker, MAX_TEXT_BYTES);
        PeerAddress address = new PeerAddress(ip, unpacker.unpackInt());
        Identity domain = MessageFields.unpackIdentity(unpacker);
        String region = MessageFields.unpackText(unpacker, MAX_TEXT_BYTES);
        long incarnation = unpacker.unpackLong();
        MemberState state = stateOf(unpacker.unpackInt());
        MessageFields.skipExtra(unpacker, extra);
        return new Member(host, address, domain, region, incarnation, state);
    }

    private static MemberState stateOf(int number) {
        if (number < 0 || number >= STATES.size()) {
            throw new MessagePackException("unknown member state " + number);
        }
        return STATES.get(number);
    }

    private static void packNotice(LeavingNotice notice, MessagePacker packer) throws IOException {
        packer.packArrayHeader(5);
        MessageFields.packIdentity(notice.target(), packer);
        MessageFields.packIdentity(notice.domain(), packer);
        packer.packString(notice.bootId()).packBoolean(notice.leaving());
        packer.packLong(notice.sequenceMs());
    }

    private static LeavingNotice unpackNotice(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, 5);
        LeavingNotice notice =
                new LeavingNotice(
                        MessageFields.unpackIdentity(unpacker),
                        MessageFields.unpackIdentity(unpacker),
                        MessageFields.unpackText(unpacker, MAX_TEXT_BYTES),
                        unpacker.unpackBoolean(),
                        unpacker.unpackLong());
        MessageFields.skipExtra(unpacker, extra);
        return notice;
    }

    private static void packReport(UnreachableReport report, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(3);
        MessageFields.packIdentity(report.reporter(), packer);
        packer.packLong(report.sequence());
        MessageFields.packList(report.unreachable(), packer, MessageFields::packIdentity);
    }

    private static UnreachableReport unpackReport(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, 3);
        UnreachableReport report =
                new UnreachableReport(
                        MessageFields.unpackIdentity(unpacker),
                        unpacker.unpackLong(),
                        MessageFields.unpackList(
                                unpacker, MAX_DOMAINS, MessageFields::unpackIdentity));
        MessageFields.skipExtra(unpacker, extra);
        return report;
    }

    private static void packDigests(Map<Identity, Long> digests, MessagePacker packer)
            throws IOException {
        packer.packMapHeader(digests.size());
        for (Map.Entry<Identity, Long> entry : digests.entrySet()) {
            MessageFields.packIdentity(entry.getKey(), packer);
            packer.packLong(entry.getValue());
        }
    }

    private static Map<Identity, Long> unpackDigests(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackMapHeader();
        if (count > MAX_DOMAINS) {
            throw new MessagePackException(count + " domains, at most " + MAX_DOMAINS);
        }
        Map<Identity, Long> digests = new HashMap<>();
        for (int i = 0; i < count; i++) {
            digests.put(MessageFields.unpackIdentity(unpacker), unpacker.unpackLong());
        }
        return digests;
    }
}
