package org.fuchsiadeck.cli.load;

import java.util.List;

/**
 * How goodput came back after an event.
 *
 * @param atS when the event was, in seconds
 * @param before mean goodput from the warm-up to the event, in requests for each second
 * @param least the least goodput in one second after it
 * @param backAfterS time from the event until the end of the first second with 95 percent of the goodput before, after
 *     the first second with less; 0 if there was none with less, -1 if it did not come back
 * @param secondsBelow how many seconds after the event had less
 */
record Recovery(int atS, double before, int least, int backAfterS, int secondsBelow) {
    private static final double BACK = 0.95;

    static Recovery of(List<Integer> goodput, int warmupS, int atS) {
        double before = goodput.subList(Math.min(warmupS, atS), atS).stream()
                .mapToInt(n -> n)
                .average()
                .orElse(0);
        List<Integer> after = goodput.subList(atS, goodput.size());
        int dip = first(after, 0, n -> n < BACK * before);
        int back = dip < 0 ? 0 : first(after, dip, n -> n >= BACK * before);
        int below = (int) after.stream().filter(n -> n < BACK * before).count();
        int least = after.stream().mapToInt(n -> n).min().orElse(0);
        return new Recovery(atS, before, least, dip < 0 ? 0 : back < 0 ? -1 : back + 1, below);
    }

    private static int first(List<Integer> series, int from, java.util.function.IntPredicate which) {
        for (int i = from; i < series.size(); i++) {
            if (which.test(series.get(i))) {
                return i;
            }
        }
        return -1;
    }
}
