package org.fuchsiadeck.node.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes a registry of metrics as JSON. Times are in milliseconds, rates in events per second.
 */
final class MetricsJson {
    private static final double NANOS_PER_MS = 1e6;

    private MetricsJson() {}

    static ObjectNode of(MetricRegistry metrics) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ObjectNode counters = json.putObject("counters");
        metrics.getCounters().forEach((name, c) -> counters.put(name, c.getCount()));
        ObjectNode gauges = json.putObject("gauges");
        metrics.getGauges().forEach((name, g) -> gauges.set(name, value(g)));
        ObjectNode meters = json.putObject("meters");
        metrics.getMeters().forEach((name, m) -> meters.set(name, rates(m)));
        ObjectNode timers = json.putObject("timers");
        metrics.getTimers().forEach((name, t) -> timers.set(name, timer(t)));
        ObjectNode histograms = json.putObject("histograms");
        metrics.getHistograms().forEach((name, h) -> histograms.set(name, quantiles(h.getSnapshot(), 1)));
        return json;
    }

    private static com.fasterxml.jackson.databind.JsonNode value(Gauge<?> gauge) {
        return StateJson.of(gauge.getValue());
    }

    private static ObjectNode rates(Metered metered) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("count", metered.getCount())
                .put("mean_rate", metered.getMeanRate())
                .put("m1_rate", metered.getOneMinuteRate());
    }

    private static ObjectNode timer(Timer timer) {
        return rates(timer).setAll(quantiles(timer.getSnapshot(), NANOS_PER_MS));
    }

    private static ObjectNode quantiles(Snapshot values, double unit) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("p50", values.getMedian() / unit)
                .put("p99", values.get99thPercentile() / unit)
                .put("max", values.getMax() / unit);
    }
}
