package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.membership.MembershipMessage.Ack;
import org.fuchsiadeck.core.membership.MembershipMessage.Ping;
import org.fuchsiadeck.core.membership.MembershipMessage.PingRequest;
import org.fuchsiadeck.core.membership.MembershipMessage.Sync;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.node.peer.generated.MemberProto;
import org.fuchsiadeck.node.peer.generated.MemberStatusProto;
import org.fuchsiadeck.node.peer.generated.MembershipProto;

/**
 * The codecs of the membership's messages.
 */
public final class MembershipCodecs {
    private MembershipCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 10 to 13
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(10, Ping.class, MembershipCodecs::ping, MembershipCodecs::ping),
                new MessageCodec<>(11, Ack.class, MembershipCodecs::ack, MembershipCodecs::ack),
                new MessageCodec<>(12, PingRequest.class, MembershipCodecs::request, MembershipCodecs::request),
                new MessageCodec<>(13, Sync.class, MembershipCodecs::sync, MembershipCodecs::sync));
    }

    private static MembershipProto ping(Ping m) {
        return common(m).setSequence(m.sequence()).build();
    }

    private static Ping ping(ByteString payload) throws InvalidProtocolBufferException {
        MembershipProto p = MembershipProto.parseFrom(payload);
        return new Ping(p.getSequence(), member(p.getSender()), updates(p));
    }

    private static MembershipProto ack(Ack m) {
        return common(m)
                .setSequence(m.sequence())
                .setSubject(member(m.subject(), 0))
                .build();
    }

    private static Ack ack(ByteString payload) throws InvalidProtocolBufferException {
        MembershipProto p = MembershipProto.parseFrom(payload);
        return new Ack(p.getSequence(), member(p.getSubject()), member(p.getSender()), updates(p));
    }

    private static MembershipProto request(PingRequest m) {
        return common(m)
                .setSequence(m.sequence())
                .setSubject(member(m.target(), 0))
                .build();
    }

    private static PingRequest request(ByteString payload) throws InvalidProtocolBufferException {
        MembershipProto p = MembershipProto.parseFrom(payload);
        return new PingRequest(p.getSequence(), member(p.getSubject()), member(p.getSender()), updates(p));
    }

    private static MembershipProto sync(Sync m) {
        return common(m).setReplyWanted(m.replyWanted()).build();
    }

    private static Sync sync(ByteString payload) throws InvalidProtocolBufferException {
        MembershipProto p = MembershipProto.parseFrom(payload);
        return new Sync(p.getReplyWanted(), member(p.getSender()), updates(p));
    }

    private static MembershipProto.Builder common(MembershipMessage m) {
        MembershipProto.Builder out = MembershipProto.newBuilder().setSender(member(m.sender(), 0));
        m.updates().forEach(u -> out.addUpdates(member(u.member(), u.ageMs())));
        return out;
    }

    private static List<Update> updates(MembershipProto p) {
        return p.getUpdatesList().stream()
                .map(m -> new Update(member(m), m.getAgeMs()))
                .toList();
    }

    private static MemberProto member(Member m, long ageMs) {
        return MemberProto.newBuilder()
                .setId(m.id().value())
                .setHost(m.address().host())
                .setPort(m.address().port())
                .setZone(m.zone().value())
                .setIncarnation(m.incarnation())
                .setStatus(MemberStatusProto.forNumber(m.status().ordinal()))
                .setAgeMs(ageMs)
                .build();
    }

    private static Member member(MemberProto p) {
        return new Member(
                new NodeId(p.getId()),
                new Address(p.getHost(), p.getPort()),
                new Zone(p.getZone()),
                p.getIncarnation(),
                status(p.getStatus()));
    }

    private static Member.Status status(MemberStatusProto status) {
        return switch (status) {
            case MEMBER_ALIVE -> Member.Status.ALIVE;
            case MEMBER_SUSPECT -> Member.Status.SUSPECT;
            case MEMBER_LEAVING -> Member.Status.LEAVING;
            case MEMBER_DEAD -> Member.Status.DEAD;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown member status");
        };
    }
}
