package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

import static java.util.stream.Collectors.groupingBy;

/**
 * Computes the result of a run from what was seen.
 */
final class Summarizer {
    private static final double NS_PER_MS = 1e6;

    private final Experiment experiment;
    private final LoadRun.Observed seen;
    private final List<Result> measured;

    Summarizer(Experiment experiment, LoadRun.Observed seen) {
        this.experiment = experiment;
        this.seen = seen;
        this.measured = seen.results().stream()
                .filter(r -> r.planned().second() >= experiment.warmupS())
                .toList();
    }

    /**
     * Computes the result.
     *
     * @param context what was run
     * @param audit the audit
     * @param actions what was done during the run
     * @return the result
     */
    Summary summary(Context context, Audit audit, List<String> actions) {
        Experiment.Goals goals = experiment.goals();
        List<Result> streams = part(r -> r.planned().request().streamed());
        List<Result> plain = part(r -> !r.planned().request().streamed() && r.answered());
        List<Integer> goodput = series(r -> r.good(goals));
        long good = measured.stream().filter(r -> r.good(goals)).count();
        return new Summary(
                experiment.name(),
                context.router,
                context.ratePerS,
                context.seed,
                experiment.durationS(),
                experiment.warmupS(),
                context.loadAverage,
                seen.latestNs() / NS_PER_MS,
                measured.size(),
                (double) good / (experiment.durationS() - experiment.warmupS()),
                Summary.Figures.share(measured, goals),
                Summary.Figures.share(streams, goals),
                counts(r -> r.outcome().toString()),
                counts(Result::reason),
                Times.of(part(r -> r.outcome() == Outcome.NOT_RUN), Result::latencyNs),
                Times.of(streams, Result::firstTokenNs),
                Quantiles.ofMicros(seen.gapsUs()),
                Times.of(plain, Result::latencyNs),
                figures(r -> r.planned().team()),
                figures(r -> r.planned().request().name()),
                figures(r -> r.planned().team() + "/" + r.planned().request().name()),
                Prefill.of(seen.results()),
                audit,
                actions,
                recovery(goodput),
                goodput,
                series(r -> true));
    }

    private Recovery recovery(List<Integer> goodput) {
        return experiment.actions().stream()
                .findFirst()
                .map(a -> Recovery.of(goodput, experiment.warmupS(), a.atS()))
                .orElse(null);
    }

    private List<Result> part(Predicate<Result> which) {
        return measured.stream().filter(which).toList();
    }

    private Map<String, Integer> counts(Function<Result, String> key) {
        Map<String, Integer> out = new TreeMap<>();
        measured.stream().map(key).filter(k -> !k.isEmpty()).forEach(k -> out.merge(k, 1, Integer::sum));
        return out;
    }

    private Map<String, Summary.Figures> figures(Function<Result, String> key) {
        Map<String, Summary.Figures> out = new TreeMap<>();
        measured.stream()
                .collect(groupingBy(key))
                .forEach((k, results) -> out.put(k, Summary.Figures.of(results, experiment.goals())));
        return out;
    }

    private List<Integer> series(Predicate<Result> which) {
        List<Integer> out = new ArrayList<>(Collections.nCopies(experiment.durationS(), 0));
        seen.results().stream().filter(which).map(r -> r.planned().second()).forEach(s -> out.set(s, out.get(s) + 1));
        return out;
    }

    /**
     * What was run.
     *
     * @param router the router that was measured
     * @param ratePerS the rate, in requests for each second
     * @param seed the seed
     * @param loadAverage the machine's load average at the start and at the end
     */
    record Context(String router, double ratePerS, long seed, List<Double> loadAverage) {}
}
