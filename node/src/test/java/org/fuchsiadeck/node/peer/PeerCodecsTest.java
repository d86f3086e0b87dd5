package org.fuchsiadeck.node.peer;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.claim.ClaimId;
import org.fuchsiadeck.core.claim.ClaimMessage;
import org.fuchsiadeck.core.claim.ClaimStatus;
import org.fuchsiadeck.core.claim.RosterChain;
import org.fuchsiadeck.core.directory.DirectoryMessage;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.quarantine.QuarantineNews;
import org.fuchsiadeck.core.request.LeavingBackend;
import org.fuchsiadeck.core.request.ServerLimitMessage;
import org.fuchsiadeck.node.testing.WireCopy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PeerCodecsTest {
    private static final PeerCodecs CODECS = new PeerCodecs(List.of(MembershipCodecs.all(), ClaimCodecs.all()));
    private static final ClaimId ID = new ClaimId(new NodeId("a"), 7);

    @ParameterizedTest
    @MethodSource("messages")
    void readsBackWhatItWrites(PeerMessage message) throws InvalidProtocolBufferException {
        assertThat(readBack(message)).isEqualTo(message);
    }

    @ParameterizedTest
    @EnumSource(ClaimMessage.Verdict.class)
    void readsBackEveryVerdict(ClaimMessage.Verdict verdict) throws InvalidProtocolBufferException {
        PeerMessage reply = new ClaimMessage.Reply(ID, verdict, 3);
        assertThat(readBack(reply)).isEqualTo(reply);
    }

    @ParameterizedTest
    @EnumSource(ClaimStatus.class)
    void readsBackEveryStatus(ClaimStatus status) throws InvalidProtocolBufferException {
        PeerMessage settle = new ClaimMessage.Settle(ID, "k", status);
        assertThat(readBack(settle)).isEqualTo(settle);
    }

    @ParameterizedTest
    @EnumSource(Member.Status.class)
    void readsBackEveryMemberStatus(Member.Status status) throws InvalidProtocolBufferException {
        PeerMessage ping = new MembershipMessage.Ping(
                1, member(Member.Status.ALIVE), List.of(new MembershipMessage.Update(member(status), 9)));
        assertThat(readBack(ping)).isEqualTo(ping);
    }

    @ParameterizedTest
    @ValueSource(longs = {LeavingBackend.UNKNOWN, 0, 30_000})
    void readsBackThatABackendServerLeaves(long leftMs) throws InvalidProtocolBufferException {
        LeavingBackend news = new LeavingBackend(new BackendId("engine-1"), leftMs);
        assertThat(WireCopy.of(DepartureCodecs.all(), news)).isEqualTo(news);
    }

    @Test
    void readsBackQueriesForDepartedServersAndTheirAnswers() throws InvalidProtocolBufferException {
        DirectoryMessage.Query query = new DirectoryMessage.Query(3, 900);
        DirectoryMessage.Departures answer = new DirectoryMessage.Departures(
                3,
                900,
                904,
                250,
                List.of(
                        new DirectoryMessage.DepartedBackend("servers/a", 901, true),
                        new DirectoryMessage.DepartedBackend("servers/b", 904, false)));
        assertThat(WireCopy.of(DepartureCodecs.all(), query)).isEqualTo(query);
        assertThat(WireCopy.of(DepartureCodecs.all(), answer)).isEqualTo(answer);
    }

    @Test
    void readsBackLimitsOfBackendServers() throws InvalidProtocolBufferException {
        BackendId id = new BackendId("engine-1");
        for (ServerLimitMessage message : List.of(
                new ServerLimitMessage.Changed(id, 1.2, true, 30),
                new ServerLimitMessage.Changed(id, 0, false, 0),
                new ServerLimitMessage.Query(id, 1.2, 40, 3),
                new ServerLimitMessage.Grant(id, 0, 700))) {
            assertThat(WireCopy.of(LimitCodecs.all(), message)).isEqualTo(message);
        }
    }

    @Test
    void readsBackLostAndAnsweredPrompts() throws InvalidProtocolBufferException {
        QuarantineNews.Loss loss = new QuarantineNews.Loss(
                new BackendId("engine-1"), new RequestId("r1"), List.of("5c1e07a2", "91bd3f06"), 900, 20);
        QuarantineNews news = new QuarantineNews(
                List.of(loss),
                List.of(new QuarantineNews.Entry(List.of("5c1e07a2"), 5_000, 700, 2)),
                List.of(new QuarantineNews.Answer("91bd3f06", 40)),
                List.of(new QuarantineNews.LiveServer(new BackendId("engine-2"), 30)));
        assertThat(WireCopy.of(QuarantineCodecs.all(), news)).isEqualTo(news);
    }

    @Test
    void refusesAnEmptyPayloadWhereFieldsAreNeeded() {
        for (MessageCodec<?> codec : MembershipCodecs.all()) {
            assertThatThrownBy(() -> codec.decode().decode(ByteString.EMPTY))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Test
    void framesOfAClaimStaySmall() {
        ClaimId id = new ClaimId(new NodeId("entry-howrah-1-0123456789abcdef"), 100_000);
        String key = "board/meal-entries/0f8fad5b-d9cb-469f-a165-70867728950e";
        List<PeerMessage> claim = List.of(
                new ClaimMessage.Request(id, key, 100_000),
                new ClaimMessage.Reply(id, ClaimMessage.Verdict.GRANTED, 100_000),
                new ClaimMessage.Settle(id, key, ClaimStatus.ANSWERED),
                new ClaimMessage.SettleAck(id));
        int total = 0;
        for (PeerMessage message : claim) {
            int bytes = frameBytes(message);
            total += bytes;
            System.out.println(message.getClass().getSimpleName() + " frame bytes: " + bytes);
        }
        assertThat(total).isLessThan(1_000);
    }

    private static int frameBytes(PeerMessage message) {
        MessageCodec<?> codec = CODECS.of(message);
        String id = "entry-howrah-1-0123456789abcdef";
        return Wire.frame(id, id, codec.number(), codec.encoded(message)).getSerializedSize();
    }

    static List<PeerMessage> messages() {
        Member a = member(Member.Status.ALIVE);
        Member b = member(Member.Status.SUSPECT);
        RosterChain chain = RosterChain.parse(9, "roster\t0\na\t127.0.0.1:1\tz\nroster\t4\nb\t127.0.0.1:2\tz\n");
        ClaimMessage.HeldClaim held = new ClaimMessage.HeldClaim("k", ID, ClaimStatus.UNKNOWN, 5, 6);
        return List.of(
                new MembershipMessage.Ack(2, a, b, List.of()),
                new MembershipMessage.PingRequest(3, a, b, List.of()),
                new MembershipMessage.Sync(true, a, List.of(new MembershipMessage.Update(b, 0))),
                new ClaimMessage.Request(ID, "k", 9),
                new ClaimMessage.SettleAck(ID),
                new ClaimMessage.RosterNews(chain),
                new ClaimMessage.Digest(true, 5, 9, -1, List.of(0L, 4L)),
                new ClaimMessage.Pull(chain, ""),
                new ClaimMessage.PullReply(4, "j", List.of(held), true, 9));
    }

    private static Member member(Member.Status status) {
        return new Member(new NodeId("a"), new Address("127.0.0.1", 1), new Zone("z"), 4, status);
    }

    private static PeerMessage readBack(PeerMessage message) throws InvalidProtocolBufferException {
        MessageCodec<?> codec = CODECS.of(message);
        assertThat(CODECS.of(codec.number())).contains(codec);
        return codec.decode().decode(codec.encoded(message));
    }
}
