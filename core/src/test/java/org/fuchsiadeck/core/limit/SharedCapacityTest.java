package org.fuchsiadeck.core.limit;

import org.fuchsiadeck.core.limit.SharedCapacity.Seen;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SharedCapacityTest {
    private static final int SLOTS = 160;
    private static final double ROOM = 10 * SharedCapacity.room(16);

    private static Seen seen(int own, int elsewhere, int waitingHere, int waitingElsewhere) {
        return new Seen(SLOTS, ROOM, own, elsewhere, waitingHere, waitingElsewhere, 10, 1_000);
    }

    private static SharedCapacity observe(SharedCapacity pool, long fromMs, long ms, Seen seen) {
        SharedCapacity next = pool;
        for (long t = fromMs; t <= fromMs + ms; t += 10) {
            next = next.observed(t, seen);
        }
        return next;
    }

    /** Releases all that is due for some time; returns the number. */
    private static long releases(SharedCapacity from, long fromMs, long ms, Seen seen) {
        SharedCapacity pool = from;
        for (long t = fromMs; t <= fromMs + ms; t += 10) {
            pool = pool.observed(t, seen);
            while (pool.allowsRelease()) {
                pool = pool.withDispatch();
            }
        }
        return pool.releases() - from.releases();
    }

    /** Guards against delays while slots are free, whatever other nodes report as waiting. */
    @Test
    void isNotFullWhileSlotsAreFree() {
        assertThat(observe(SharedCapacity.NONE, 0, 3_000, seen(20, 139, 5, 500)).isFull())
                .isFalse();
    }

    /** Guards against waits by own counts alone: without reports, a node decides as without shared capacity. */
    @Test
    void isNeverFullWithoutReportsOrWithoutAMeanDuration() {
        Seen alone = new Seen(SLOTS, ROOM, 500, 0, 5, 0, 1, 1_000);
        Seen unknownMean = new Seen(SLOTS, ROOM, 100, 400, 5, 50, 10, 0);
        assertThat(observe(SharedCapacity.NONE, 0, 1_000, alone).isFull()).isFalse();
        assertThat(observe(SharedCapacity.NONE, 0, 1_000, unknownMean).isFull()).isFalse();
    }

    /** Guards against a burst that is noticed only with the next reports: growth here is expected elsewhere too. */
    @Test
    void countsWhatOtherNodesProbablySentSinceTheirReports() {
        SharedCapacity steady = observe(SharedCapacity.NONE, 0, 5_000, seen(16, 150, 0, 0));
        assertThat(steady.isFull()).isFalse();
        SharedCapacity grown = steady.observed(5_100, seen(40, 150, 0, 0));
        assertThat(grown.isFull()).isTrue();
    }

    /** Guards against nodes that together release more than the pool completes. */
    @Test
    void releasesItsShareOfTheCompletionRate() {
        Seen full = seen(20, 180, 30, 270);
        SharedCapacity pool = observe(SharedCapacity.NONE, 0, 5_000, full);
        double perSecond = releases(pool, 5_000, 10_000, full) / 10.0;
        assertThat(perSecond).isCloseTo(0.1 * ROOM, within(0.05 * ROOM));
    }

    /** Guards against a queue that is never served because the reports say that others wait longer. */
    @Test
    void releasesNowAndThenWhateverOthersReport() {
        Seen full = seen(0, 400, 1, 100_000);
        SharedCapacity pool = observe(SharedCapacity.NONE, 0, 5_000, full);
        assertThat(releases(pool, 5_000, 10_000, full)).isPositive();
    }

    /** Guards against capacity that stands idle because a node without queued requests keeps its share. */
    @Test
    void lendsTheCapacityOfNodesThatDoNotWait() {
        Seen full = seen(20, 180, 30, 0);
        SharedCapacity pool = observe(SharedCapacity.NONE, 0, 5_000, full);
        assertThat(releases(pool, 5_000, 1_000, full) / 1.0).isGreaterThan(0.8 * SLOTS);
    }

    /** Guards against all nodes claiming the whole pool before they know each other's queues. */
    @Test
    void startsFromSharesThatAddUpToOne() {
        Seen full = seen(20, 180, 30, 0);
        assertThat(releases(SharedCapacity.NONE, 0, 1_000, full)).isLessThanOrEqualTo((long) (0.15 * ROOM));
    }

    /** Guards against a queue that is reviewed only when an attempt of this node ends. */
    @Test
    void isReviewedSoonEvenIfNoReleaseIsDue() {
        assertThat(observe(SharedCapacity.NONE, 0, 5_000, seen(0, 400, 1, 100_000))
                        .reviewInMs())
                .isBetween(1L, 100L);
    }

    /** Guards against more requests to a server that has just refused one, and against a slot unused after one ended. */
    @Test
    void excludesARefusingServerUntilItCompletesARequest() {
        var id = new org.fuchsiadeck.core.model.BackendId("s");
        ServiceCapacity refused = ServiceCapacity.NONE.withRefusal(id, 1_000);
        assertThat(refused.isExcluded(id, 1_000 + SharedCapacity.REPORT_AGE_MS - 1))
                .isTrue();
        assertThat(refused.isExcluded(id, 1_000 + SharedCapacity.REPORT_AGE_MS)).isFalse();
        assertThat(refused.withCompletion(id).isExcluded(id, 1_001)).isFalse();
    }
}
