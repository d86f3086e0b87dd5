package org.fuchsiadeck.node.operator;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Writes a node's figures in the text form that common scrapers read. {@code docs/operations/metrics.md} names each.
 */
final class MetricsText {
    private static final String PREFIX = "fuchsiadeck_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();

    private MetricsText() {}

    static String of(MetricRegistry metrics, Map<String, Long> counts) {
        MetricsText out = new MetricsText();
        counts.forEach((name, value) -> out.single(name, "counter", value));
        metrics.getCounters().forEach((name, c) -> out.single(name, "counter", c.getCount()));
        metrics.getMeters().forEach((name, m) -> out.single(name, "counter", m.getCount()));
        metrics.getGauges().forEach(out::gauge);
        metrics.getHistograms().forEach((name, h) -> out.summary(name, h, h.getSnapshot(), 1));
        metrics.getTimers().forEach((name, t) -> out.summary(name + ".seconds", t, t.getSnapshot(), NANOS_PER_SECOND));
        return out.text.toString();
    }

    private void gauge(String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            single(name, "gauge", number.doubleValue());
        }
    }

    private void single(String name, String type, double value) {
        String clean = clean(name);
        text.append("# TYPE ").append(clean).append(' ').append(type).append('\n');
        text.append(clean).append(' ').append(number(value)).append('\n');
    }

    private void summary(String name, Counting counting, Snapshot snapshot, double unit) {
        String clean = clean(name);
        text.append("# TYPE ").append(clean).append(" summary\n");
        for (double quantile : QUANTILES) {
            text.append(clean).append("{quantile=\"").append(quantile).append("\"} ");
            text.append(number(snapshot.getValue(quantile) / unit)).append('\n');
        }
        text.append(clean).append("_count ").append(counting.getCount()).append('\n');
    }

    private static String clean(String name) {
        return PREFIX + name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE / 2
                ? String.valueOf((long) value)
                : String.format(Locale.ROOT, "%.6f", value);
    }
}
