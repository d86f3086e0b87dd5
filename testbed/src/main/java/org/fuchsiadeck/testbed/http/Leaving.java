package org.fuchsiadeck.testbed.http;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Whether a backend server leaves, and the end of its notice.
 */
public final class Leaving {
    private final ScheduledExecutorService timer;

    private final Runnable onEnd;

    private Future<?> end;

    private boolean on;

    /**
     * Makes the state of a server that stays.
     *
     * @param timer waits for the end
     * @param onEnd what to run when the notice ends
     */
    public Leaving(ScheduledExecutorService timer, Runnable onEnd) {
        this.timer = timer;
        this.onEnd = onEnd;
    }

    /**
     * Starts to leave.
     *
     * @param noticeMs the time left, in milliseconds; negative for no end
     */
    public synchronized void begin(long noticeMs) {
        forgetEnd();
        on = true;
        if (noticeMs >= 0) {
            end = timer.schedule(onEnd, noticeMs, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Stays after all.
     */
    public synchronized void reset() {
        forgetEnd();
        on = false;
    }

    /**
     * Tells whether the server leaves.
     *
     * @return true once it has begun to leave
     */
    public synchronized boolean isOn() {
        return on;
    }

    private void forgetEnd() {
        if (end != null) {
            end.cancel(false);
            end = null;
        }
    }
}
