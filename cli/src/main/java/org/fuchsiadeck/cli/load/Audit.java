package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.fuchsiadeck.testbed.engine.EngineAudit;

import static java.util.stream.Collectors.toSet;

/**
 * What callers were told, held against what the stand-ins ran. The whole run counts, its warm-up too.
 *
 * @param lost entries that were acknowledged and not run
 * @param doubled entries that were run more than once
 * @param ranThoughRefused requests that were run though their callers were told that they were not
 * @param wrong answers with something else in them
 * @param cut answers that ended without a last event
 * @param unanswered requests without any end
 * @param retriedTokens tokens of prompts and resumed text that engines computed for retries and resumed streams
 * @param examples ids of requests that broke a promise, a few
 */
record Audit(
        int lost,
        int doubled,
        int ranThoughRefused,
        int wrong,
        int cut,
        int unanswered,
        long retriedTokens,
        List<String> examples) {
    private static final int MAX_EXAMPLES = 20;

    static Audit of(
            List<Result> results,
            int sent,
            Payloads payloads,
            Map<String, Integer> entryRuns,
            List<EngineAudit> engines) {
        Set<String> started = engines.stream()
                .flatMap(e -> e.started().keySet().stream())
                .map(k -> k.substring(0, k.lastIndexOf('/')))
                .collect(toSet());
        Predicate<Result> ran =
                r -> entryRuns.containsKey(payloads.id(r.planned())) || started.contains(payloads.id(r.planned()));
        Predicate<Result> entry = r -> r.planned().request().kind() == RequestMix.Kind.ENTRY;
        Predicate<Result> lost = entry.and(r -> r.outcome() == Outcome.ANSWERED).and(ran.negate());
        Predicate<Result> doubled = entry.and(r -> entryRuns.getOrDefault(payloads.id(r.planned()), 0) > 1);
        Predicate<Result> untrue = ran.and(r -> r.outcome() == Outcome.NOT_RUN);
        Predicate<Result> wrong = r -> r.flaw() == Result.Flaw.WRONG;
        Predicate<Result> cut = r -> r.flaw() == Result.Flaw.CUT;
        return new Audit(
                count(results, lost),
                count(results, doubled),
                count(results, untrue),
                count(results, wrong),
                count(results, cut),
                sent - results.size(),
                engines.stream().mapToLong(EngineAudit::tokensRecomputed).sum(),
                results.stream()
                        .filter(lost.or(doubled).or(untrue).or(wrong).or(cut))
                        .limit(MAX_EXAMPLES)
                        .map(r -> payloads.id(r.planned()) + " "
                                + r.planned().request().name() + " " + r.outcome() + " " + r.flaw() + " " + r.reason())
                        .toList());
    }

    boolean broken() {
        return lost + doubled + ranThoughRefused + wrong + cut + unanswered > 0;
    }

    private static int count(List<Result> results, Predicate<Result> which) {
        return (int) results.stream().filter(which).count();
    }
}
