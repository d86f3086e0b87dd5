package org.fuchsiadeck.node.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.peer.generated.Frame;
import org.jboss.logging.Logger;

/**
 * The connection to one peer and the frames that wait for it. All methods run on the event loop. While frames are
 * written the connection is checked by heartbeats, and replaced when one goes unanswered.
 */
final class Outbound {
    /** Most frames that wait for one peer. Beyond it the oldest is dropped. */
    static final int QUEUE_LIMIT = 1_024;

    private static final Logger LOG = Logger.getLogger(Outbound.class);
    private static final long HEARTBEAT_MS = 1_000;
    private static final long IDLE_MS = 60_000;
    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 5_000;

    private final Address peer;
    private final String self;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final PeerTraffic traffic;
    private final Deque<Item> queue = new ArrayDeque<>();

    private Phase phase = Phase.CLOSED;
    private Channel channel;
    private long backoffMs = MIN_BACKOFF_MS;
    private boolean acknowledged;
    private boolean writtenSinceHeartbeat;
    private boolean heartbeatRunning;
    private long writes;

    private enum Phase {
        CLOSED,
        CONNECTING,
        OPEN,
        BACKING_OFF
    }

    record Item(String kind, Frame frame) {}

    Outbound(Address peer, String self, EventLoop loop, Bootstrap bootstrap, PeerTraffic traffic) {
        this.peer = peer;
        this.self = self;
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.traffic = traffic;
    }

    void send(Item item) {
        if (queue.size() >= QUEUE_LIMIT) {
            queue.removeFirst();
            traffic.dropped();
        }
        queue.addLast(item);
        proceed();
    }

    private void proceed() {
        if (phase == Phase.OPEN) {
            drain();
        } else if (phase == Phase.CLOSED && !queue.isEmpty()) {
            connect();
        }
    }

    private void connect() {
        phase = Phase.CONNECTING;
        ChannelFuture connecting =
                bootstrap.clone(loop).handler(new OutboundHandlers(this)).connect(peer.host(), peer.port());
        channel = connecting.channel();
        connecting.addListener(done -> connected(done.cause()));
    }

    private void connected(Throwable cause) {
        if (cause != null) {
            LOG.debugf("step=connect peer=%s %s", peer, cause);
            queue.forEach(item -> traffic.dropped());
            queue.clear();
            backOff();
            return;
        }
        phase = Phase.OPEN;
        heartbeatRunning = false;
        drain();
    }

    private void backOff() {
        phase = Phase.BACKING_OFF;
        loop.schedule(
                () -> {
                    phase = Phase.CLOSED;
                    proceed();
                },
                backoffMs,
                TimeUnit.MILLISECONDS);
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }

    private void drain() {
        boolean wrote = false;
        while (channel.isWritable() && !queue.isEmpty()) {
            Item item = queue.removeFirst();
            traffic.sent(item.kind(), item.frame().getSerializedSize());
            channel.write(Wire.write(channel.alloc(), item.frame()));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
            writtenSinceHeartbeat = true;
            writes++;
            heartbeat(channel);
        }
    }

    private void heartbeat(Channel on) {
        if (heartbeatRunning) {
            return;
        }
        heartbeatRunning = true;
        acknowledged = false;
        writtenSinceHeartbeat = false;
        on.writeAndFlush(Wire.write(on.alloc(), Wire.heartbeat(self, Wire.HEARTBEAT)));
        loop.schedule(() -> heartbeatDue(on), HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void heartbeatDue(Channel on) {
        if (on != channel || phase != Phase.OPEN) {
            return;
        }
        heartbeatRunning = false;
        if (!acknowledged) {
            replace(on);
        } else if (writtenSinceHeartbeat) {
            heartbeat(on);
        } else {
            long seen = writes;
            loop.schedule(() -> closeIfIdle(on, seen), IDLE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void replace(Channel silent) {
        LOG.warnf("%d step=heartbeat peer=%s", EventCode.PEER_LINK_REPLACED.number(), peer);
        traffic.replaced();
        phase = Phase.CLOSED;
        silent.close();
        proceed();
    }

    private void closeIfIdle(Channel on, long seen) {
        if (on == channel && phase == Phase.OPEN && writes == seen) {
            phase = Phase.CLOSED;
            on.close();
        }
    }

    void acknowledged(Channel on) {
        if (on == channel) {
            acknowledged = true;
            backoffMs = MIN_BACKOFF_MS;
        }
    }

    void writable(Channel on) {
        if (on == channel) {
            proceed();
        }
    }

    void closed(Channel on) {
        if (on != channel || phase != Phase.OPEN) {
            return;
        }
        backOff();
    }

    void close() {
        queue.clear();
        if (channel != null) {
            channel.close();
        }
    }
}
