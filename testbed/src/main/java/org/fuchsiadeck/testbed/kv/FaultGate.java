package org.fuchsiadeck.testbed.kv;

import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Routes;

/**
 * Applies the faults to calls and answers.
 */
final class FaultGate {
    private static final long SEED = 17;

    private final Random random = new Random(SEED);

    private final AtomicInteger lostAnswersLeft = new AtomicInteger();

    private volatile KvFaults faults = KvFaults.none();

    KvFaults faults() {
        return faults;
    }

    void set(KvFaults next) {
        faults = next;
        lostAnswersLeft.set(next.loseNextWriteAnswers());
    }

    /** Lets a call through, or deals with it if the service is down. */
    boolean admit(Exchange x) {
        if (!faults.outage() || isStandInCall(x)) {
            return true;
        }
        meetOutage(x);
        return false;
    }

    void meetOutage(Exchange x) {
        switch (faults.mode()) {
            case REFUSE -> x.drop();
            case ERROR -> x.json(503, new Routes.Problem("outage"));
            default -> {} // the caller waits in vain
        }
    }

    /** Tells whether the answer of the next write is lost. */
    boolean losesAnswer() {
        if (lostAnswersLeft.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return true;
        }
        synchronized (random) {
            return random.nextDouble() < faults.loseWriteAnswerRate();
        }
    }

    private static boolean isStandInCall(Exchange x) {
        return List.of("v1", "faults").equals(x.path())
                || List.of("v1", "stats").equals(x.path());
    }
}
