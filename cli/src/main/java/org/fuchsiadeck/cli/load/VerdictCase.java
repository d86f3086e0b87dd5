package org.fuchsiadeck.cli.load;

import org.fuchsiadeck.core.request.AttemptObserved.Verdict;

/**
 * A good or bad new version, and the load it meets.
 */
enum VerdictCase {
    FAILS_AT_ONCE(true, Verdict.FAILED, 1, 1, Where.ALWAYS),
    FAILS_ONE_IN_TEN(true, Verdict.FAILED, 0.1, 1, Where.ALWAYS),
    FAILS_LATER(true, Verdict.FAILED, 1, 1, Where.LATER),
    FAILS_UNDER_LOAD(true, Verdict.FAILED, 1, 1, Where.UNDER_LOAD),
    FAILS_ON_ONE_ROUTE(true, Verdict.FAILED, 1, 1, Where.ONE_ROUTE),
    SLOWER_BY_HALF(true, Verdict.GOOD, 1, 1.5, Where.ALWAYS),
    TWICE_AS_SLOW(true, Verdict.GOOD, 1, 2, Where.ALWAYS),
    TWICE_AS_SLOW_LATER(true, Verdict.GOOD, 1, 2, Where.LATER),
    CUTS_ONE_IN_FIVE(true, Verdict.CORRUPT, 0.2, 1, Where.ALWAYS),
    WRONG_REQUEST_ID(true, Verdict.CORRUPT, 1, 1, Where.ALWAYS),
    GOOD(false, Verdict.GOOD, 0, 1, Where.ALWAYS),
    GOOD_IN_BURSTS(false, Verdict.GOOD, 0, 1, Where.ALWAYS),
    GOOD_LOAD_DOUBLES(false, Verdict.GOOD, 0, 1, Where.ALWAYS),
    GOOD_TENTH_SLOWER(false, Verdict.GOOD, 1, 1.1, Where.ALWAYS),
    GOOD_HOTTER_SERVERS(false, Verdict.GOOD, 0, 1, Where.ALWAYS),
    GOOD_COLD_CACHES(false, Verdict.GOOD, 0, 1, Where.ALWAYS);

    private static final double LATER_S = 75;
    private static final double HIGH_LOAD = 0.7;
    private static final int SHIFT_S = 60;
    private static final int COLD_ANSWERS = 40;
    private static final double HOTTER = 1.3;

    private final boolean bad;
    private final Verdict verdict;
    private final double probability;
    private final double slower;
    private final Where where;

    VerdictCase(boolean bad, Verdict verdict, double probability, double slower, Where where) {
        this.bad = bad;
        this.verdict = verdict;
        this.probability = probability;
        this.slower = slower;
        this.where = where;
    }

    /** Tells whether the version must be condemned. */
    boolean bad() {
        return bad;
    }

    boolean bursts() {
        return this != GOOD;
    }

    /** Returns when the load doubles, in seconds; 0 for never. */
    int shiftsAtS() {
        return this == GOOD_LOAD_DOUBLES ? SHIFT_S : 0;
    }

    /** Returns how much more load the servers of the new version have than those of the old one. */
    double hotter() {
        return this == GOOD_HOTTER_SERVERS ? HOTTER : 1;
    }

    /** Returns how many answers of the new version miss the prefix cache at first. */
    int coldAnswers() {
        return this == GOOD_COLD_CACHES ? COLD_ANSWERS : 0;
    }

    /** Returns what an attempt at the new version shows. */
    Shown shown(double second, double load, String route, double draw) {
        boolean here =
                switch (where) {
                    case ALWAYS -> true;
                    case LATER -> second >= LATER_S;
                    case UNDER_LOAD -> load > HIGH_LOAD;
                    case ONE_ROUTE -> route.equals("summary");
                };
        return here && draw < probability ? new Shown(verdict, slower) : Shown.NONE;
    }

    /** Where a fault shows. */
    private enum Where {
        ALWAYS,
        LATER,
        UNDER_LOAD,
        ONE_ROUTE
    }

    /** What an attempt shows. */
    record Shown(Verdict verdict, double slower) {
        static final Shown NONE = new Shown(Verdict.GOOD, 1);
    }
}
