package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.claim.ClaimId;
import org.fuchsiadeck.core.claim.ClaimMessage;
import org.fuchsiadeck.core.claim.ClaimStatus;
import org.fuchsiadeck.core.claim.RosterChain;
import org.fuchsiadeck.core.config.ConfigMessage;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.membership.MembershipMessage.Update;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.RegistryFormat;
import org.fuchsiadeck.core.rollout.RolloutMessage;
import org.fuchsiadeck.node.config.ConfigCodecs;
import org.fuchsiadeck.node.peer.ClaimCodecs;
import org.fuchsiadeck.node.peer.MembershipCodecs;
import org.fuchsiadeck.node.peer.MessageCodec;
import org.fuchsiadeck.node.peer.generated.Frame;
import org.fuchsiadeck.node.rollout.RolloutCodecs;

/**
 * The length of each message between nodes as a frame, its length field included, without the headers of TCP and IP.
 */
final class WireSizes {
    private static final List<Integer> MEMBERS = List.of(8, 32, 128, 370);
    private static final List<Integer> UPDATES = List.of(0, 1, 4, 8);
    private static final List<Integer> CLAIMS = List.of(1, 20, 200);
    private static final List<Integer> VALUE_KB = List.of(1, 16, 128, 900);
    private static final List<Integer> ROUTES = List.of(1, 4, 16);
    private static final List<Integer> ROLLOUTS = List.of(1, 8, 32);
    private static final int KB = 1_024;
    private static final int LENGTH_BYTES = 4;
    private static final long REVISION = 1_000_000;
    private static final ClaimId CLAIM = new ClaimId(Samples.node(1), 1_000_000);
    private static final Member SENDER = Samples.member(1, 0, Member.Status.ALIVE);
    private static final List<MessageCodec<?>> CODECS = Stream.of(
                    MembershipCodecs.all(), ClaimCodecs.all(), ConfigCodecs.all(), RolloutCodecs.all())
            .flatMap(List::stream)
            .toList();

    private WireSizes() {}

    @FunctionalInterface
    private interface Maker {
        PeerMessage make(int size);
    }

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        out.addAll(points("Ping", "updates", UPDATES, n -> new MembershipMessage.Ping(9_999, SENDER, updates(n))));
        out.addAll(
                points("Ack", "updates", UPDATES, n -> new MembershipMessage.Ack(9_999, SENDER, SENDER, updates(n))));
        out.addAll(points("Sync", "members", MEMBERS, n -> new MembershipMessage.Sync(true, SENDER, updates(n))));
        out.addAll(points("RosterNews", "roster members", MEMBERS, n -> new ClaimMessage.RosterNews(chain(n))));
        out.addAll(points("Pull", "roster members", MEMBERS, n -> new ClaimMessage.Pull(chain(n), ClaimCosts.key(1))));
        out.addAll(points("PullReply", "claims", CLAIMS, WireSizes::pullReply));
        out.addAll(points("config Offer", "KB of value", VALUE_KB, WireSizes::configOffer));
        out.addAll(points("Observed", "routes", ROUTES, n -> RolloutCosts.message(Samples.evidence(n))));
        out.addAll(points("rollout Offer", "rollouts", ROLLOUTS, WireSizes::bookOffer));
        out.addAll(points("Condemned", "versions", ROLLOUTS, WireSizes::condemned));
        single(out);
        return out;
    }

    private static void single(List<Point> out) {
        out.add(point("claim Request", new ClaimMessage.Request(CLAIM, ClaimCosts.key(1), REVISION)));
        out.add(point("claim Reply", new ClaimMessage.Reply(CLAIM, ClaimMessage.Verdict.GRANTED, REVISION)));
        out.add(point("Settle", new ClaimMessage.Settle(CLAIM, ClaimCosts.key(1), ClaimStatus.ANSWERED)));
        out.add(point("SettleAck", new ClaimMessage.SettleAck(CLAIM)));
        out.add(point("claim Digest", new ClaimMessage.Digest(false, 99_999_999, REVISION, REVISION, List.of())));
        out.add(point("Announce", new ConfigMessage.Announce(REVISION)));
        out.add(point("Query", new ConfigMessage.Query()));
        out.add(point("Fetch", new ConfigMessage.Fetch()));
        out.add(point("rollout Digest", new RolloutMessage.Digest(REVISION, 3)));
        out.add(Point.exact("wire.heartbeat", "-", 1, "bytes", frame(1, "", new byte[0])));
    }

    private static List<Point> points(String kind, String per, List<Integer> sizes, Maker maker) {
        return sizes.stream()
                .map(n -> Point.exact("wire." + kind, per, n, "bytes", bytes(maker.make(n))))
                .toList();
    }

    private static Point point(String kind, PeerMessage message) {
        return Point.exact("wire." + kind, "-", 1, "bytes", bytes(message));
    }

    /** Returns the length of a message as a frame. */
    static int bytes(PeerMessage message) {
        MessageCodec<?> codec = codec(message);
        return frame(codec.number(), Samples.node(2).value(), encode(codec, message));
    }

    /** Encodes and decodes a message, as if it came from another node. */
    static PeerMessage copy(PeerMessage message) {
        MessageCodec<?> codec = codec(message);
        try {
            return codec.decode().decode(ByteString.copyFrom(encode(codec, message)));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a message could not be read back", e);
        }
    }

    private static MessageCodec<?> codec(PeerMessage message) {
        return CODECS.stream()
                .filter(c -> c.type().isInstance(message))
                .findFirst()
                .orElseThrow();
    }

    private static <M extends PeerMessage> byte[] encode(MessageCodec<M> codec, PeerMessage message) {
        MessageLite payload = codec.encode().apply(codec.type().cast(message));
        return payload.toByteArray();
    }

    private static int frame(int type, String to, byte[] payload) {
        Frame frame = Frame.newBuilder()
                .setFrom(Samples.node(1).value())
                .setTo(to)
                .setType(type)
                .setPayload(ByteString.copyFrom(payload))
                .build();
        return LENGTH_BYTES + frame.getSerializedSize();
    }

    private static List<Update> updates(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Update(Samples.member(i, 0, Member.Status.ALIVE), 3_600_000))
                .toList();
    }

    private static RosterChain chain(int members) {
        return RosterChain.parse(REVISION, Samples.rosterText(1, members));
    }

    private static PeerMessage pullReply(int claims) {
        List<ClaimMessage.HeldClaim> held = IntStream.range(0, claims)
                .mapToObj(i ->
                        new ClaimMessage.HeldClaim(ClaimCosts.key(i), CLAIM, ClaimStatus.ANSWERED, 300_000, 300_000))
                .toList();
        return new ClaimMessage.PullReply(REVISION, ClaimCosts.key(1), held, false, REVISION);
    }

    private static PeerMessage configOffer(int kb) {
        return new ConfigMessage.Offer(REVISION, ConfigValues.value(kb * KB));
    }

    private static PeerMessage bookOffer(int rollouts) {
        return new RolloutMessage.Offer(REVISION, RegistryFormat.serialize(RolloutCosts.book(rollouts)));
    }

    private static PeerMessage condemned(int versions) {
        String reason = "errors on route-2: 41 of 900 against 3 of 17100";
        return new RolloutMessage.Condemned(IntStream.range(0, versions)
                .mapToObj(i -> new Condemnation(new ServiceVersion("service-" + i, "v2"), 3, reason))
                .toList());
    }
}
