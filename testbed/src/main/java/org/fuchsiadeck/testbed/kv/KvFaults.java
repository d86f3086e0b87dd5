package org.fuchsiadeck.testbed.kv;

/**
 * Faults of the key-value service.
 *
 * @param outage whether the service is down
 * @param mode how it is down; by default it refuses
 * @param delayMs how long each call waits before it is worked on, in milliseconds
 * @param loseNextWriteAnswers how many writes next take effect without an answer
 * @param loseWriteAnswerRate the share of writes that take effect without an answer, 0 to 1
 * @param staleWatchMs how late changes reach watches, in milliseconds
 * @param watchGap whether the history of changes is forgotten, once, when the faults are set
 */
public record KvFaults(
        boolean outage,
        Mode mode,
        long delayMs,
        int loseNextWriteAnswers,
        double loseWriteAnswerRate,
        long staleWatchMs,
        boolean watchGap) {
    public KvFaults {
        mode = mode == null ? Mode.REFUSE : mode;
    }

    /**
     * Gives the state without faults.
     *
     * @return no faults
     */
    public static KvFaults none() {
        return new KvFaults(false, Mode.REFUSE, 0, 0, 0, 0, false);
    }

    /**
     * Gives an outage.
     *
     * @param mode how the service is down
     * @return an outage and no other fault
     */
    public static KvFaults outage(Mode mode) {
        return new KvFaults(true, mode, 0, 0, 0, 0, false);
    }

    /**
     * Gives lost answers.
     *
     * @param count how many writes next take effect without an answer
     * @return lost answers and no other fault
     */
    public static KvFaults lostAnswers(int count) {
        return new KvFaults(false, Mode.REFUSE, 0, count, 0, 0, false);
    }

    /** How a service that is down meets a call. */
    public enum Mode {
        /** It closes the connection. */
        REFUSE,
        /** It takes the call and never answers; nothing takes effect. */
        HANG,
        /** It answers with status 503. */
        ERROR
    }
}
