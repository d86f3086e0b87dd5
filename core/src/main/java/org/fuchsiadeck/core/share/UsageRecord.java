package org.fuchsiadeck.core.share;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.model.TeamId;

/**
 * What all nodes together had spent and begun at a time. It lies in the platform's key-value service, so that it
 * outlasts the processes that counted it.
 *
 * @param wallMs the time, in milliseconds since 1970
 * @param spent units that teams had spent in the quota window up to then
 * @param begun requests of teams that backend servers had begun, by usage window
 */
public record UsageRecord(long wallMs, Map<TeamId, Long> spent, Map<Long, Map<TeamId, Long>> begun) {
    /** Where the record lies. No prefix that nodes watch covers it, since it changes often and is read once. */
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
     * Reads a record.
     *
     * @param text the text as it was written
     * @return the record; empty if the text is none
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
     * Writes the record: a line for the time, for each team's units, and for each window and team.
     *
     * @return the text
     */
    public String serialize() {
        StringBuilder text = new StringBuilder();
        line(text, TIME, wallMs);
        new TreeMap<>(spent).forEach((team, units) -> line(text, SPENT, team, units));
        new TreeMap<>(begun)
                .forEach((window, counts) ->
                        new TreeMap<>(counts).forEach((team, count) -> line(text, BEGUN, window, team, count)));
        return text.toString();
    }

    private static void line(StringBuilder text, Object... fields) {
        for (Object field : fields) {
            text.append(field).append(SEPARATOR);
        }
        text.setCharAt(text.length() - 1, '\n');
    }
}
