package org.fuchsiadeck.testbed.engine;

/**
 * Who asked for a generation: the ids that the answer bears, and the order in which it is run.
 */
final class GenerationKey implements Comparable<GenerationKey> {
    private final String requestId;

    private final String attempt;

    private final String route;

    private final int priority;

    private final long arrival;

    private volatile boolean wrongId;

    private volatile String version = "";

    GenerationKey(String requestId, String attempt, String route, int priority, long arrival) {
        this.requestId = requestId;
        this.attempt = attempt;
        this.route = route;
        this.priority = priority;
        this.arrival = arrival;
    }

    String requestId() {
        return requestId;
    }

    String attempt() {
        return attempt;
    }

    String route() {
        return route;
    }

    boolean isRetry() {
        return !attempt.isEmpty() && !attempt.equals("1");
    }

    /** Gives the id that the answer bears, which a bad version gets wrong. */
    String answeredId() {
        return wrongId ? "not-" + requestId : requestId;
    }

    /** Gives the version that answers, empty until the request is put to work. */
    String version() {
        return version;
    }

    void answersAs(String runVersion, VersionFault fault) {
        version = runVersion;
        wrongId = fault != null && fault.kind() == VersionFault.Kind.WRONG && fault.wrongId();
    }

    @Override
    public int compareTo(GenerationKey other) {
        int byPriority = Integer.compare(other.priority, priority);
        return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }
}
