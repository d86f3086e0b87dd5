package org.fuchsiadeck.core.share;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.model.TeamId;

/**
 * A snapshot of the usage of all entry nodes together. It is stored in the platform's key-value service, so that quotas
 * and usage windows survive a restart of all nodes.
 *
 * @param wallMs the time of the snapshot, in milliseconds since 1970
 * @param spent the units spent in the quota window that ends at that time, by team
 * @param begun the requests that backend servers had started to process, by usage window and team
 */
public record UsageRecord(long wallMs, Map<TeamId, Long> spent, Map<Long, Map<TeamId, Long>> begun) {
    /** The key of the record. No watched prefix covers it, since it changes often and is read only once per run. */
    public static final String KEY = "use/record";

    private static final String TIME = "time";
    private static final String SPENT = "spent";
    private static final String BEGUN = "begun";
    private static final char SEPARATOR = '\t';

    public UsageRecord {
        spent = Map.copyOf(spent);
        begun = Map.copyOf(begun);
    }

    /**
     * Parses a serialized record.
     *
     * @param text the text, as returned by {@link #serialize}
     * @return the record; empty if the text is malformed or contains no time
     */
    public static Optional<UsageRecord> parse(String text) {
        long wallMs = -1;
        Map<TeamId, Long> spent = new TreeMap<>();
        Map<Long, Map<TeamId, Long>> begun = new TreeMap<>();
        try {
            for (String line : text.split("\n")) {
                String[] fields = line.split(String.valueOf(SEPARATOR));
                if (fields[0].equals(TIME)) {
                    wallMs = Long.parseLong(fields[1]);
                } else if (fields[0].equals(SPENT)) {
                    spent.put(new TeamId(fields[1]), Long.parseLong(fields[2]));
                } else if (fields[0].equals(BEGUN)) {
                    begun.computeIfAbsent(Long.parseLong(fields[1]), w -> new TreeMap<>())
                            .put(new TeamId(fields[2]), Long.parseLong(fields[3]));
                }
            }
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
        return wallMs < 0 ? Optional.empty() : Optional.of(new UsageRecord(wallMs, spent, begun));
    }

    /**
     * Serializes the record to tab-separated lines: one with the time, one per team with its units, and one per usage
     * window and team with its requests.
     *
     * @return the text
     */
    public String serialize() {
        StringBuilder text = new StringBuilder();
        appendLine(text, TIME, wallMs);
        new TreeMap<>(spent).forEach((team, units) -> appendLine(text, SPENT, team, units));
        new TreeMap<>(begun)
                .forEach((window, counts) ->
                        new TreeMap<>(counts).forEach((team, count) -> appendLine(text, BEGUN, window, team, count)));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, Object... fields) {
        for (Object field : fields) {
            text.append(field).append(SEPARATOR);
        }
        text.setCharAt(text.length() - 1, '\n');
    }
}
