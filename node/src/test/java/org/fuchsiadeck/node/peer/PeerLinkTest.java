package org.fuchsiadeck.node.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.PeerReceived;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.membership.MembershipMessage;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Zone;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerLinkTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<PeerReceived> received = new LinkedBlockingQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    @Test
    void deliversMessagesInOrderAndCountsThem() throws Exception {
        Address to = freeAddress();
        link("b", to);
        PeerLink a = link("a", freeAddress());
        for (int i = 0; i < 100; i++) {
            a.send(to, new NodeId("b"), ping(i));
        }
        for (int i = 0; i < 100; i++) {
            assertThat(received.take()).isEqualTo(new PeerReceived(new NodeId("a"), ping(i)));
        }
        assertThat(metrics.meter("peer.in.messages.Ping").getCount()).isEqualTo(100);
    }

    @Test
    void dropsMessagesMeantForAnEarlierNodeAtTheAddress() throws Exception {
        Address to = freeAddress();
        link("new", to);
        PeerLink a = link("a", freeAddress());
        a.send(to, new NodeId("old"), ping(1));
        a.send(to, ping(2));
        assertThat(received.take().message()).isEqualTo(ping(2));
        assertThat(metrics.counter("peer.in.misdirected").getCount()).isEqualTo(1);
    }

    @Test
    void dropsMalformedFramesAndReadsOn() throws Exception {
        Address to = freeAddress();
        link("b", to);
        try (Socket socket = new Socket(LOOPBACK, to.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            write(out, new byte[] {-1, -1, -1});
            MessageCodec<?> codec = new PeerCodecs(List.of(MembershipCodecs.all())).of(ping(3));
            write(
                    out,
                    Wire.frame("", "", codec.number(), codec.encoded(ping(3))).toByteArray());
            write(
                    out,
                    Wire.frame("a", "", codec.number(), codec.encoded(ping(4))).toByteArray());
            assertThat(received.take().message()).isEqualTo(ping(4));
        }
        assertThat(metrics.counter("peer.in.malformed").getCount()).isEqualTo(2);
    }

    @Test
    void closesAConnectionThatAnnouncesAnOversizedFrame() throws Exception {
        Address to = freeAddress();
        link("b", to);
        try (Socket socket = new Socket(LOOPBACK, to.port())) {
            new DataOutputStream(socket.getOutputStream()).writeInt(Wire.MAX_FRAME_BYTES + 1);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void replacesAConnectionThatDoesNotAnswerHeartbeats() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 10, LOOPBACK)) {
            Address to = new Address("127.0.0.1", silent.getLocalPort());
            PeerLink a = link("a", freeAddress());
            a.send(to, ping(1));
            try (Socket first = silent.accept()) {
                assertThat(first.getInputStream().readNBytes(LENGTH_PREFIX_BYTES))
                        .hasSize(LENGTH_PREFIX_BYTES);
                while (metrics.counter("peer.out.replaced").getCount() == 0) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
                a.send(to, ping(2));
                try (Socket second = silent.accept()) {
                    assertThat(second.getInputStream().readNBytes(LENGTH_PREFIX_BYTES))
                            .hasSize(LENGTH_PREFIX_BYTES);
                }
            }
        }
    }

    private PeerLink link(String id, Address at) {
        Identity self = new Identity(new NodeId(id), new Zone("z"), at, 1);
        PeerLink link = new PeerLink(self, at, new PeerCodecs(List.of(MembershipCodecs.all())), received::add, metrics);
        open.add(link);
        return link;
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }

    private static MembershipMessage.Ping ping(long sequence) {
        Member sender =
                new Member(new NodeId("a"), new Address("127.0.0.1", 1), new Zone("z"), 0, Member.Status.LEAVING);
        return new MembershipMessage.Ping(sequence, sender, List.of(new MembershipMessage.Update(sender, 7)));
    }

    private static void write(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
    }
}
