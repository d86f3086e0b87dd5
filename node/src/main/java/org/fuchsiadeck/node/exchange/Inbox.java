package org.fuchsiadeck.node.exchange;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * What came from one attempt and was not passed on yet. Guarded by its exchange.
 */
final class Inbox {
    private static final int MAX_HELD_BYTES = 32 << 10;

    final int attempt;
    final AttemptControl control;
    private final Queue<Token> held = new ArrayDeque<>();
    private int heldBytes;
    private boolean paused;
    WholeAnswer whole;
    byte[] last;

    Inbox(int attempt, AttemptControl control) {
        this.attempt = attempt;
        this.control = control;
    }

    void hold(Token token) {
        held.add(token);
        heldBytes += token.event().length;
    }

    Token poll() {
        Token token = held.poll();
        heldBytes -= token == null ? 0 : token.event().length;
        return token;
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
