package org.fuchsiadeck.core.duty;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.model.TeamId;

/**
 * Request counts of the last usage windows, as stored in the platform's key-value service. The counts of a window are
 * stored before they are reported, so that repeated reports, also by another leader, contain the same counts.
 *
 * @param windows counts by team, by window
 */
record WindowCounts(TreeMap<Long, Map<TeamId, Long>> windows) {
    /** Number of windows stored: more than are reported late after an outage. */
    private static final int MAX_WINDOWS = 8;

    private static final int FIELDS_PER_LINE = 3;

    /**
     * Parses the text that {@link #serialize} returns: one line for each window and team, with window, team and count
     * separated by tabs. Lines with another number of fields are ignored.
     */
    static WindowCounts parse(String text) {
        TreeMap<Long, Map<TeamId, Long>> windows = new TreeMap<>();
        for (String line : text.split("\n")) {
            String[] fields = line.split("\t");
            if (fields.length == FIELDS_PER_LINE) {
                windows.computeIfAbsent(Long.parseLong(fields[0]), w -> new TreeMap<>())
                        .put(new TeamId(fields[1]), Long.parseLong(fields[2]));
            }
        }
        return new WindowCounts(windows);
    }

    Optional<Map<TeamId, Long>> counts(long window) {
        return Optional.ofNullable(windows.get(window));
    }

    WindowCounts withCounts(long window, Map<TeamId, Long> counts) {
        TreeMap<Long, Map<TeamId, Long>> next = new TreeMap<>(windows);
        next.put(window, counts);
        while (next.size() > MAX_WINDOWS) {
            next.remove(next.firstKey());
        }
        return new WindowCounts(next);
    }

    String serialize() {
        StringBuilder text = new StringBuilder();
        windows.forEach((window, counts) -> new TreeMap<>(counts)
                .forEach((team, count) -> text.append(window)
                        .append('\t')
                        .append(team)
                        .append('\t')
                        .append(count)
                        .append('\n')));
        return text.toString();
    }
}
