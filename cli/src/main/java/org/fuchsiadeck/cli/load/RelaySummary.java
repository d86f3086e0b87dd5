package org.fuchsiadeck.cli.load;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * The result of a relay benchmark. Times are in milliseconds.
 *
 * @param seed the number of the run
 * @param ratePerS plain requests for each second, on either way
 * @param loadAverage the machine's load average at the start and at the end
 * @param direct time to plain answers from the stand-in
 * @param relayed time to plain answers through the node
 * @param addedP50Ms what the node adds to the median
 * @param addedP99Ms what the node adds to the 99th percentile
 * @param failed requests that were not answered right
 * @param directChunksPerS tokens for each second from the stand-ins
 * @param relayedChunksPerS tokens for each second through the node
 * @param streams streams at a time
 */
record RelaySummary(
        long seed,
        double ratePerS,
        List<Double> loadAverage,
        Quantiles direct,
        Quantiles relayed,
        double addedP50Ms,
        double addedP99Ms,
        int failed,
        double directChunksPerS,
        double relayedChunksPerS,
        int streams) {
    static String table(Collection<RelaySummary> runs) {
        StringBuilder out = new StringBuilder("| run | direct p50 / p99 ms | relayed p50 / p99 ms | added p50 / p99 ms "
                + "| ratio p50 / p99 | chunks/s direct | chunks/s relayed | failed | load average |\n"
                + "|---|---|---|---|---|---|---|---|---|\n");
        runs.forEach(r -> out.append(r.line()));
        return out.toString();
    }

    private String line() {
        return String.format(
                Locale.ROOT,
                "| %d | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %.0f | %.0f | %d | %.1f-%.1f |%n",
                seed,
                direct.p50(),
                direct.p99(),
                relayed.p50(),
                relayed.p99(),
                addedP50Ms,
                addedP99Ms,
                relayed.p50() / direct.p50(),
                relayed.p99() / direct.p99(),
                directChunksPerS,
                relayedChunksPerS,
                failed,
                loadAverage.get(0),
                loadAverage.get(1));
    }
}
