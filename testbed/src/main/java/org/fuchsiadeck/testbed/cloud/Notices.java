package org.fuchsiadeck.testbed.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Reclaim notices in force. The clock is the caller's, in nanoseconds.
 */
final class Notices {
    private final Map<String, Given> given = new TreeMap<>();

    Given give(String instance, long noticeMs, boolean shown, long nowNs) {
        Given notice = new Given(nowNs, nowNs + TimeUnit.MILLISECONDS.toNanos(noticeMs), shown);
        synchronized (this) {
            given.put(instance, notice);
        }
        return notice;
    }

    /** Tells whether a notice is still in force: neither ended nor given anew. */
    synchronized boolean isInForce(String instance, Given notice) {
        return given.get(instance) == notice;
    }

    synchronized void end(String instance) {
        given.remove(instance);
    }

    synchronized List<Notice> shown(long lagMs, long nowNs) {
        long givenBefore = nowNs - TimeUnit.MILLISECONDS.toNanos(lagMs);
        List<Notice> notices = new ArrayList<>();
        given.forEach((instance, g) -> {
            if (g.shown && g.givenNs - givenBefore <= 0) {
                long left = Math.max(0, TimeUnit.NANOSECONDS.toMillis(g.endNs - nowNs));
                notices.add(new Notice(instance, left));
            }
        });
        return notices;
    }

    /**
     * A notice in force.
     *
     * @param instance the instance
     * @param noticeMs the time left, in milliseconds
     */
    record Notice(String instance, long noticeMs) {}

    /**
     * When a notice was given and ends.
     *
     * @param givenNs when it was given
     * @param endNs when it ends
     * @param shown whether it shows in the list
     */
    record Given(long givenNs, long endNs, boolean shown) {}
}
