package org.fuchsiadeck.node.operator;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.config.ConfigState;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.quarantine.Quarantine;
import org.fuchsiadeck.core.request.Decision;

/**
 * Writes a dump in the order of operators' questions: what is set, who is there, what is in progress, and why.
 */
public final class DumpJson {
    /** The gauge of the bytes held for callers. */
    public static final String BUFFERED_BYTES = "front.buffered_bytes";

    private static final String PLATFORM_PREFIX = "platform.";

    private DumpJson() {}

    /**
     * Writes a dump.
     *
     * @param source what it is made of
     * @param whole whether the whole state goes with it, as {@code state}
     * @return the dump
     */
    public static ObjectNode of(DumpSource source, boolean whole) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("now_ms", source.nowMs());
        json.put("draining", source.draining());
        json.set("unready", StateJson.of(source.unready()));
        json.set("settings", StateJson.of(source.settings()));
        json.put("config_revision", source.config().revision());
        json.set("config", config(source));
        json.set("members", StateJson.of(source.state().members().members()));
        json.set("backends", BackendsJson.of(source));
        json.set("rollouts", RolloutsJson.of(source.state().rollouts()));
        json.set("quarantines", quarantines(source));
        json.set("queues", QueuesJson.of(source.state().requests()));
        json.set("budgets", budgets(source));
        json.set("counters", StateJson.of(source.state().requests().counters()));
        json.set("decisions", decisions(source));
        json.set("idle_connections", StateJson.of(new TreeMap<>(source.idleConnections())));
        json.put("requests_open", source.requestsOpen());
        if (whole) {
            json.set("state", StateJson.of(source.state()));
        }
        return json;
    }

    private static ObjectNode config(DumpSource source) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("revision", source.config().revision());
        ConfigState.Origin origin = source.state().config().origin();
        if (source.config() == source.state().config().current()) {
            json.put("source", origin.source());
            json.put("age_ms", source.nowMs() - origin.sinceMs());
        }
        ArrayNode exceptions = json.putArray("exceptions");
        for (ExceptionRule rule : source.config().exceptions()) {
            ObjectNode item = exceptions.addObject();
            item.put("reason", rule.reason());
            item.put("expired", rule.isExpired(source.wallMs()));
        }
        return json;
    }

    private static ArrayNode quarantines(DumpSource source) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        for (Quarantine quarantine : source.state().quarantine().quarantines().values()) {
            ObjectNode item = json.addObject();
            item.set("parts", StateJson.of(quarantine.parts()));
            item.put("age_ms", source.nowMs() - quarantine.sinceMs());
            item.put("trial_in_ms", Math.max(0, quarantine.untilMs() - source.nowMs()));
            item.put("level", quarantine.level());
        }
        return json;
    }

    private static ObjectNode budgets(DumpSource source) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("retries_left", source.state().requests().budget().retries());
        Gauge<?> buffered = source.metrics().getGauges().get(BUFFERED_BYTES);
        json.set("buffered_bytes", StateJson.of(buffered == null ? 0 : buffered.getValue()));
        json.put("max_buffered_bytes", source.settings().limits().maxBufferedBytes());
        ObjectNode platform = json.putObject("platform");
        for (Map.Entry<String, Counter> counter : source.metrics().getCounters().entrySet()) {
            if (counter.getKey().startsWith(PLATFORM_PREFIX)) {
                String name = counter.getKey().substring(PLATFORM_PREFIX.length());
                platform.put(name, counter.getValue().getCount());
            }
        }
        return json;
    }

    private static ArrayNode decisions(DumpSource source) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        for (Decision decision : source.state().requests().decisions().reverse()) {
            ObjectNode item = json.addObject();
            item.put("age_ms", source.nowMs() - decision.atMs());
            item.put("request", decision.id().value());
            item.put("route", decision.route());
            item.put("decision", decision.kind().name());
            decision.backend().ifPresent(b -> item.put("server", b.value()));
            item.put("why", decision.reason());
        }
        return json;
    }
}
