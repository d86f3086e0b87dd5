package org.fuchsiadeck.cli.load;

/**
 * A request that is to be sent.
 *
 * @param atNs when, in nanoseconds from the start of the run on
 * @param request what kind it is
 * @param team who sends it
 * @param group which group it is of, from 0
 * @param number its number in the run, from 0
 */
record Planned(long atNs, RequestMix request, String team, int group, int number) {
    private static final long NS_PER_S = 1_000_000_000;

    int second() {
        return (int) (atNs / NS_PER_S);
    }
}
