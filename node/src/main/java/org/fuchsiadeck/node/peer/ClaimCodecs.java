package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.claim.ClaimId;
import org.fuchsiadeck.core.claim.ClaimMessage.Digest;
import org.fuchsiadeck.core.claim.ClaimMessage.HeldClaim;
import org.fuchsiadeck.core.claim.ClaimMessage.Pull;
import org.fuchsiadeck.core.claim.ClaimMessage.PullReply;
import org.fuchsiadeck.core.claim.ClaimMessage.Reply;
import org.fuchsiadeck.core.claim.ClaimMessage.Request;
import org.fuchsiadeck.core.claim.ClaimMessage.RosterNews;
import org.fuchsiadeck.core.claim.ClaimMessage.Settle;
import org.fuchsiadeck.core.claim.ClaimMessage.SettleAck;
import org.fuchsiadeck.core.claim.ClaimMessage.Verdict;
import org.fuchsiadeck.core.claim.ClaimStatus;
import org.fuchsiadeck.core.claim.RosterChain;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.node.peer.generated.ClaimIdProto;
import org.fuchsiadeck.node.peer.generated.ClaimReplyProto;
import org.fuchsiadeck.node.peer.generated.ClaimRequestProto;
import org.fuchsiadeck.node.peer.generated.ClaimStatusProto;
import org.fuchsiadeck.node.peer.generated.HeldClaimProto;
import org.fuchsiadeck.node.peer.generated.PullProto;
import org.fuchsiadeck.node.peer.generated.PullReplyProto;
import org.fuchsiadeck.node.peer.generated.RosterDigestProto;
import org.fuchsiadeck.node.peer.generated.RosterNewsProto;
import org.fuchsiadeck.node.peer.generated.SettleAckProto;
import org.fuchsiadeck.node.peer.generated.SettleProto;
import org.fuchsiadeck.node.peer.generated.VerdictProto;

/**
 * The codecs of the messages about idempotency keys.
 */
public final class ClaimCodecs {
    private ClaimCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return the codecs, numbers 20 to 27
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new MessageCodec<>(20, Request.class, ClaimCodecs::request, ClaimCodecs::request),
                new MessageCodec<>(21, Reply.class, ClaimCodecs::reply, ClaimCodecs::reply),
                new MessageCodec<>(22, Settle.class, ClaimCodecs::settle, ClaimCodecs::settle),
                new MessageCodec<>(23, SettleAck.class, ClaimCodecs::settleAck, ClaimCodecs::settleAck),
                new MessageCodec<>(24, RosterNews.class, m -> chain(m.chain()), ClaimCodecs::news),
                new MessageCodec<>(25, Digest.class, ClaimCodecs::digest, ClaimCodecs::digest),
                new MessageCodec<>(26, Pull.class, ClaimCodecs::pull, ClaimCodecs::pull),
                new MessageCodec<>(27, PullReply.class, ClaimCodecs::pullReply, ClaimCodecs::pullReply));
    }

    private static ClaimRequestProto request(Request m) {
        return ClaimRequestProto.newBuilder()
                .setId(id(m.id()))
                .setKey(m.key())
                .setRevision(m.revision())
                .build();
    }

    private static Request request(ByteString payload) throws InvalidProtocolBufferException {
        ClaimRequestProto p = ClaimRequestProto.parseFrom(payload);
        return new Request(id(p.getId()), p.getKey(), p.getRevision());
    }

    private static ClaimReplyProto reply(Reply m) {
        return ClaimReplyProto.newBuilder()
                .setId(id(m.id()))
                .setVerdict(VerdictProto.valueOf("VERDICT_" + m.verdict().name()))
                .setRevision(m.revision())
                .build();
    }

    private static Reply reply(ByteString payload) throws InvalidProtocolBufferException {
        ClaimReplyProto p = ClaimReplyProto.parseFrom(payload);
        return new Reply(id(p.getId()), verdict(p.getVerdict()), p.getRevision());
    }

    private static SettleProto settle(Settle m) {
        return SettleProto.newBuilder()
                .setId(id(m.id()))
                .setKey(m.key())
                .setStatus(status(m.status()))
                .build();
    }

    private static Settle settle(ByteString payload) throws InvalidProtocolBufferException {
        SettleProto p = SettleProto.parseFrom(payload);
        return new Settle(id(p.getId()), p.getKey(), status(p.getStatus()));
    }

    private static SettleAckProto settleAck(SettleAck m) {
        return SettleAckProto.newBuilder().setId(id(m.id())).build();
    }

    private static SettleAck settleAck(ByteString payload) throws InvalidProtocolBufferException {
        return new SettleAck(id(SettleAckProto.parseFrom(payload).getId()));
    }

    private static RosterNews news(ByteString payload) throws InvalidProtocolBufferException {
        return new RosterNews(chain(RosterNewsProto.parseFrom(payload)));
    }

    private static RosterDigestProto digest(Digest m) {
        return RosterDigestProto.newBuilder()
                .setReply(m.reply())
                .setSentMs(m.sentMs())
                .setRevision(m.revision())
                .setNewest(m.newestBaseRevision())
                .addAllTakenOver(m.takenOver())
                .build();
    }

    private static Digest digest(ByteString payload) throws InvalidProtocolBufferException {
        RosterDigestProto p = RosterDigestProto.parseFrom(payload);
        return new Digest(p.getReply(), p.getSentMs(), p.getRevision(), p.getNewest(), p.getTakenOverList());
    }

    private static PullProto pull(Pull m) {
        return PullProto.newBuilder()
                .setChain(chain(m.chain()))
                .setAfterKey(m.afterKey())
                .build();
    }

    private static Pull pull(ByteString payload) throws InvalidProtocolBufferException {
        PullProto p = PullProto.parseFrom(payload);
        return new Pull(chain(p.getChain()), p.getAfterKey());
    }

    private static PullReplyProto pullReply(PullReply m) {
        return PullReplyProto.newBuilder()
                .setNewest(m.newestBaseRevision())
                .setAfterKey(m.afterKey())
                .addAllClaims(m.claims().stream().map(ClaimCodecs::held).toList())
                .setLast(m.last())
                .setRevision(m.revision())
                .build();
    }

    private static PullReply pullReply(ByteString payload) throws InvalidProtocolBufferException {
        PullReplyProto p = PullReplyProto.parseFrom(payload);
        List<HeldClaim> claims =
                p.getClaimsList().stream().map(ClaimCodecs::held).toList();
        return new PullReply(p.getNewest(), p.getAfterKey(), claims, p.getLast(), p.getRevision());
    }

    private static HeldClaimProto held(HeldClaim c) {
        return HeldClaimProto.newBuilder()
                .setKey(c.key())
                .setId(id(c.id()))
                .setStatus(status(c.status()))
                .setAgeMs(c.ageMs())
                .setLeftMs(c.remainingMs())
                .build();
    }

    private static HeldClaim held(HeldClaimProto p) {
        return new HeldClaim(p.getKey(), id(p.getId()), status(p.getStatus()), p.getAgeMs(), p.getLeftMs());
    }

    private static ClaimIdProto id(ClaimId id) {
        return ClaimIdProto.newBuilder()
                .setRequester(id.requester().value())
                .setNumber(id.number())
                .build();
    }

    private static ClaimId id(ClaimIdProto p) {
        return new ClaimId(new NodeId(p.getRequester()), p.getNumber());
    }

    private static RosterNewsProto chain(RosterChain chain) {
        return RosterNewsProto.newBuilder()
                .setRevision(chain.revision())
                .setRosters(chain.text())
                .build();
    }

    private static RosterChain chain(RosterNewsProto p) {
        return RosterChain.parse(p.getRevision(), p.getRosters());
    }

    private static ClaimStatusProto status(ClaimStatus status) {
        return ClaimStatusProto.valueOf("CLAIM_" + status.name());
    }

    private static ClaimStatus status(ClaimStatusProto status) {
        return switch (status) {
            case CLAIM_PENDING -> ClaimStatus.PENDING;
            case CLAIM_UNKNOWN -> ClaimStatus.UNKNOWN;
            case CLAIM_ANSWERED -> ClaimStatus.ANSWERED;
            case CLAIM_RELEASED -> ClaimStatus.RELEASED;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown claim status");
        };
    }

    private static Verdict verdict(VerdictProto verdict) {
        return switch (verdict) {
            case VERDICT_NOT_READY -> Verdict.NOT_READY;
            case VERDICT_GRANTED -> Verdict.GRANTED;
            case VERDICT_PENDING -> Verdict.PENDING;
            case VERDICT_UNKNOWN -> Verdict.UNKNOWN;
            case VERDICT_ANSWERED -> Verdict.ANSWERED;
            case VERDICT_STALE -> Verdict.STALE;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown verdict");
        };
    }
}
