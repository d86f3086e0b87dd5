package org.fuchsiadeck.cli.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.fuchsiadeck.testbed.TestbedState;
import org.fuchsiadeck.testbed.cloud.BackendInstance;

/**
 * Counts the requests that the engines of an old and a new version take.
 */
final class RolloutWatch {
    private final StandIns standIns;
    private final String newVersion;
    private final int faultAfter;
    private final TreeMap<Long, Integer> fresh = new TreeMap<>();
    private final TreeMap<Long, Integer> all = new TreeMap<>();
    private long firstFaultMs = -1;

    /**
     * Makes a watch.
     *
     * @param standIns the stand-ins
     * @param newVersion the new version
     * @param faultAfter after how many requests to one engine the fault shows
     */
    RolloutWatch(StandIns standIns, String newVersion, int faultAfter) {
        this.standIns = standIns;
        this.newVersion = newVersion;
        this.faultAfter = faultAfter;
    }

    /**
     * Counts once.
     *
     * @param wallMs the time, in milliseconds since 1970
     * @param old whether to count the requests to the old version too
     */
    void sample(long wallMs, boolean old) {
        int taken = 0;
        int others = 0;
        for (TestbedState.BackendState b : standIns.state().backends()) {
            boolean counts = b.kind() == BackendInstance.Kind.ENGINE && b.running();
            boolean isNew = counts && b.version().equals(newVersion);
            if (isNew || counts && old) {
                int started = standIns.audit(b).started().size();
                taken += isNew ? started : 0;
                others += isNew ? 0 : started;
                firstFaultMs = isNew && started > faultAfter && firstFaultMs < 0 ? wallMs : firstFaultMs;
            }
        }
        fresh.merge(wallMs, taken, Math::max);
        if (old) {
            all.put(wallMs, taken + others);
        }
    }

    /** Returns when the first request met the fault, in milliseconds since 1970; -1 if none did. */
    long firstFaultMs() {
        return firstFaultMs;
    }

    /** Returns when the count of requests to the new version last grew, in milliseconds since 1970; -1 if never. */
    long lastNewMs() {
        int end = newCount();
        return fresh.entrySet().stream()
                .filter(e -> end > 0 && e.getValue() == end)
                .mapToLong(Map.Entry::getKey)
                .min()
                .orElse(-1);
    }

    /** Returns how many requests the new version took. */
    int newCount() {
        return fresh.isEmpty() ? 0 : fresh.lastEntry().getValue();
    }

    /** Returns how many requests the new version took until a time, in milliseconds since 1970. */
    int newCount(long untilMs) {
        return count(fresh, untilMs);
    }

    /** Returns how many requests both versions took until a time, in milliseconds since 1970. */
    int allCount(long untilMs) {
        return count(all, untilMs);
    }

    private static int count(TreeMap<Long, Integer> counts, long untilMs) {
        Map.Entry<Long, Integer> at = counts.ceilingEntry(untilMs);
        at = at == null ? counts.lastEntry() : at;
        return at == null ? 0 : at.getValue();
    }

    /** Returns when each node logged that the version is condemned, in the order of the times. */
    static List<Long> condemnedMs(List<String> logLines) {
        return List.copyOf(new TreeSet<>(logLines.stream()
                .filter(l -> l.contains("VERSION_CONDEMNED"))
                .map(RolloutWatch::timeMs)
                .toList()));
    }

    private static long timeMs(String line) {
        int start = line.indexOf("\"timestamp\":\"") + "\"timestamp\":\"".length();
        String text = line.substring(start, line.indexOf('"', start));
        return java.time.OffsetDateTime.parse(text).toInstant().toEpochMilli();
    }
}
