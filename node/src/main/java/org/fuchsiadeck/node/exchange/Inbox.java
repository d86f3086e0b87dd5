package org.fuchsiadeck.node.exchange;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * What came from one attempt and was not passed on yet. Guarded by its exchange.
 */
final class Inbox {
    private static final int MAX_HELD_BYTES = 32 << 10;

    final int attempt;
    final AttemptControl control;
    private final ByteBudget.Account account;
    private final Queue<Token> held = new ArrayDeque<>();
    private int heldBytes;
    private long gatheredBytes;
    private boolean paused;
    WholeAnswer whole;
    List<Header> headers = List.of();
    byte[] last;

    Inbox(int attempt, AttemptControl control, ByteBudget.Account account) {
        this.attempt = attempt;
        this.control = control;
        this.account = account;
    }

    void hold(Token token) {
        held.add(token);
        heldBytes += token.event().length;
        account.add(token.event().length);
    }

    Token poll() {
        Token token = held.poll();
        int length = token == null ? 0 : token.event().length;
        heldBytes -= length;
        account.add(-length);
        return token;
    }

    /** Counts bytes of a plain answer. Returns false if the node has no room for them. */
    boolean gather(int bytes) {
        if (gatheredBytes + bytes <= ByteBudget.SMALL_BYTES) {
            account.add(bytes);
        } else if (!account.takeOfAnswer(bytes)) {
            return false;
        }
        gatheredBytes += bytes;
        return true;
    }

    /** Gives back what was counted. */
    void discard() {
        account.add(-gatheredBytes - heldBytes);
        gatheredBytes = 0;
        heldBytes = 0;
        held.clear();
    }

    boolean full() {
        return heldBytes > MAX_HELD_BYTES;
    }

    void pause() {
        if (!paused) {
            paused = true;
            control.pauseReading();
        }
    }

    void resume() {
        if (paused) {
            paused = false;
            control.resumeReading();
        }
    }

    boolean paused() {
        return paused;
    }
}
