package org.fuchsiadeck.testbed.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;

/**
 * One direction of a link: a queue of bytes that the faults hold back, limit or swallow. Only the link's event loop uses
 * it.
 */
final class Pipe {
    private static final long MAX_QUEUED_BYTES = 256 * 1024;

    private static final long TRICKLE_TICK_MS = 20;

    private static final long MS_PER_S = 1_000;

    private final Direction way;

    private final Link link;

    private final Supplier<ProxyFaults> faults;

    private final Counters counters;

    private final Deque<Item> queue = new ArrayDeque<>();

    private long queuedBytes;

    private long passedBytes;

    private long trickleFromNs;

    private boolean silent;

    private boolean pumpPlanned;

    private boolean ended;

    private boolean finished;

    private ChannelFuture lastWrite;

    Pipe(Direction way, Link link, Supplier<ProxyFaults> faults, Counters counters) {
        this.way = way;
        this.link = link;
        this.faults = faults;
        this.counters = counters;
    }

    /** Tells whether all bytes and the end went through. */
    boolean hasEnded() {
        return finished;
    }

    boolean isSilent() {
        return silent;
    }

    void take(ByteBuf data) {
        if (silent || ended) {
            swallow(data);
            return;
        }
        queuedBytes += data.readableBytes();
        add(data);
    }

    void takeEnd() {
        if (!silent && !ended) {
            add(Unpooled.EMPTY_BUFFER);
        }
    }

    void silence() {
        silent = true;
        dropQueue();
        link.read(way, true);
    }

    void halfClose() {
        dropQueue();
        end();
    }

    void dropQueue() {
        queue.forEach(item -> swallow(item.data));
        queue.clear();
        queuedBytes = 0;
    }

    void pump() {
        while (!queue.isEmpty() && !ended && mayPass()) {
            pass(queue.element());
        }
        link.read(way, silent || queuedBytes < MAX_QUEUED_BYTES);
    }

    private void add(ByteBuf data) {
        queue.add(new Item(
                data,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faults.get().delayMs())));
        pump();
    }

    private boolean mayPass() {
        Channel to = link.to(way);
        if (to == null || !to.isActive() || !to.isWritable() || faults.get().holds(way)) {
            return false;
        }
        long waitNs = Math.max(queue.element().dueNs, trickleFromNs) - System.nanoTime();
        if (waitNs > 0) {
            plan(waitNs);
        }
        return waitNs <= 0;
    }

    private void pass(Item item) {
        if (item.isEnd()) {
            queue.remove();
            end();
            return;
        }
        ByteBuf data = item.data;
        int n = passable(data.readableBytes());
        ByteBuf part = data.readRetainedSlice(n);
        if (!data.isReadable()) {
            queue.remove();
            data.release();
        }
        // A write may call pump again before it returns, so the queue is in order by now.
        write(part);
        long limit = faults.get().cutAfter(way);
        if (limit > 0 && passedBytes >= limit) {
            link.cut();
        }
    }

    private int passable(int available) {
        long n = available;
        ProxyFaults f = faults.get();
        if (f.trickleBytesPerS() > 0) {
            n = Math.min(n, Math.max(1, f.trickleBytesPerS() * TRICKLE_TICK_MS / MS_PER_S));
            trickleFromNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(n) / f.trickleBytesPerS();
        }
        if (f.cutAfter(way) > 0) {
            n = Math.min(n, Math.max(0, f.cutAfter(way) - passedBytes));
        }
        return (int) n;
    }

    private void write(ByteBuf part) {
        int n = part.readableBytes();
        queuedBytes -= n;
        passedBytes += n;
        counters.passed(way, n);
        lastWrite = link.to(way).writeAndFlush(part);
    }

    /** Ends the direction once the bytes before the end are out: a shutdown drops what is still to be written. */
    private void end() {
        ended = true;
        if (lastWrite == null) {
            finish();
        } else {
            lastWrite.addListener(f -> finish());
        }
    }

    private void finish() {
        finished = true;
        ((DuplexChannel) link.to(way)).shutdownOutput();
        link.directionEnded(way);
    }

    private void plan(long waitNs) {
        if (pumpPlanned) {
            return;
        }
        pumpPlanned = true;
        Runnable later = () -> {
            pumpPlanned = false;
            pump();
        };
        link.loop().schedule(later, waitNs, TimeUnit.NANOSECONDS);
    }

    private void swallow(ByteBuf data) {
        counters.swallowed(data.readableBytes());
        data.release();
    }

    private record Item(ByteBuf data, long dueNs) {
        boolean isEnd() {
            return data == Unpooled.EMPTY_BUFFER;
        }
    }
}
