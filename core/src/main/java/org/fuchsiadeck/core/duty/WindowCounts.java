package org.fuchsiadeck.core.duty;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiadeck.core.model.TeamId;

/**
 * The reports of the last windows as the platform's key-value service holds them. A report is written there before it is
 * made, so that whoever makes it, or makes it again, says the same.
 *
 * @param windows the counts by window
 */
record WindowCounts(TreeMap<Long, Map<TeamId, Long>> windows) {
    /** Windows that are kept: more than are made up for after an outage. */
    private static final int KEPT = 8;

    private static final int FIELDS = 3;

    /** One line for each window and team: window, team, count; a window without teams has a line of its own. */
    static WindowCounts parse(String text) {
        TreeMap<Long, Map<TeamId, Long>> windows = new TreeMap<>();
        for (String line : text.split("\n")) {
            String[] fields = line.split("\t");
            if (fields.length == FIELDS) {
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
        while (next.size() > KEPT) {
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
