package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.Map;

/**
 * The result of a run, as it is written. Times are in milliseconds. All but the audit, the prefill and the series are
 * of the time after the warm-up.
 *
 * @param experiment the experiment's name
 * @param router the router that was measured
 * @param ratePerS the rate, in requests for each second
 * @param seed the seed
 * @param durationS how long requests were sent, in seconds
 * @param warmupS how long nothing was measured at first, in seconds
 * @param loadAverage the machine's load average at the start and at the end
 * @param latestSendMs how much later than intended a request was sent at most
 * @param offered how many requests were sent
 * @param goodputPerS answered whole and within the goals, for each second
 * @param shareWithinGoals part of the requests that were
 * @param streamShareWithinGoals part of the streams that were
 * @param outcomes how many requests ended how
 * @param reasons how many were refused or failed why
 * @param refusals how long refusals took
 * @param firstToken time to the first token
 * @param betweenTokens time between tokens, each gap by itself
 * @param plain time to plain answers
 * @param teams figures of each team
 * @param requests figures of each kind of request
 * @param teamRequests figures of each kind of request of each team, by {@code team/kind}
 * @param prefill what engines computed of the prompts
 * @param audit promises broken
 * @param actions what was done during the run, and with what answer
 * @param recovery how goodput came back after the first action; null without one
 * @param goodputSeries goodput of each second, by the intended send
 * @param offeredSeries requests of each second, by the intended send
 */
record Summary(
        String experiment,
        String router,
        double ratePerS,
        long seed,
        int durationS,
        int warmupS,
        List<Double> loadAverage,
        double latestSendMs,
        int offered,
        double goodputPerS,
        double shareWithinGoals,
        double streamShareWithinGoals,
        Map<String, Integer> outcomes,
        Map<String, Integer> reasons,
        Quantiles refusals,
        Quantiles firstToken,
        Quantiles betweenTokens,
        Quantiles plain,
        Map<String, Figures> teams,
        Map<String, Figures> requests,
        Map<String, Figures> teamRequests,
        Prefill prefill,
        Audit audit,
        List<String> actions,
        Recovery recovery,
        List<Integer> goodputSeries,
        List<Integer> offeredSeries) {
    /**
     * The figures of a part of the requests.
     *
     * @param offered how many were sent
     * @param shareWithinGoals part of them that was answered whole and within the goals
     * @param refused how many were refused as not run
     * @param firstToken time to the first token
     * @param plain time to plain answers
     * @param wholeStream time to the end of whole streams
     */
    record Figures(
            int offered,
            double shareWithinGoals,
            int refused,
            Quantiles firstToken,
            Quantiles plain,
            Quantiles wholeStream) {
        static Figures of(List<Result> results, Experiment.Goals goals) {
            List<Result> answered = results.stream().filter(Result::answered).toList();
            return new Figures(
                    results.size(),
                    share(results, goals),
                    (int) results.stream()
                            .filter(r -> r.outcome() == Outcome.NOT_RUN)
                            .count(),
                    Times.of(results, Result::firstTokenNs),
                    Times.of(part(answered, false), Result::latencyNs),
                    Times.of(part(answered, true), Result::latencyNs));
        }

        private static List<Result> part(List<Result> results, boolean streamed) {
            return results.stream()
                    .filter(r -> r.planned().request().streamed() == streamed)
                    .toList();
        }

        static double share(List<Result> results, Experiment.Goals goals) {
            long good = results.stream().filter(r -> r.good(goals)).count();
            return results.isEmpty() ? 0 : (double) good / results.size();
        }
    }
}
