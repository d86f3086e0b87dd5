package org.fuchsiadeck.node.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.fuchsiadeck.node.exchange.CallerChannel;
import org.fuchsiadeck.node.exchange.Header;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.exchange.WholeAnswer;

/** A way back to a caller that keeps what it is given. */
public final class RecordingChannel implements CallerChannel {
    private final ByteArrayOutputStream stream = new ByteArrayOutputStream();
    private Runnable drained = () -> {};
    public volatile boolean full;
    public volatile boolean aborted;
    public volatile boolean gone;
    private volatile int checksUntilGone = Integer.MAX_VALUE;
    public final Queue<Runnable> polls = new ConcurrentLinkedQueue<>();
    public volatile WholeAnswer answer;

    @Override
    public void answer(WholeAnswer whole) {
        answer = whole;
    }

    @Override
    public void startStream(List<Header> headers) {}

    @Override
    public synchronized void send(byte[] event) {
        stream.writeBytes(event);
    }

    @Override
    public synchronized void end(byte[] event) {
        stream.writeBytes(event);
    }

    @Override
    public void refuse(Refusal refusal) {}

    @Override
    public void abort() {
        aborted = true;
    }

    @Override
    public synchronized boolean isGone() {
        gone = gone || checksUntilGone == 0;
        checksUntilGone--;
        return gone;
    }

    @Override
    public void afterNextPoll(Runnable action) {
        polls.add(action);
    }

    @Override
    public boolean full() {
        return full;
    }

    @Override
    public void onDrained(Runnable action) {
        drained = action;
    }

    /** Makes the caller leave after a number of checks that find it present. */
    public synchronized void goneAfterChecks(int checks) {
        checksUntilGone = checks;
    }

    public void drain() {
        full = false;
        drained.run();
    }

    public synchronized String text() {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
