package org.fuchsiadeck.node.front;

import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.run.EffectHandler;

/**
 * Counts and logs the requests that are refused before the decisions see them.
 *
 * @param log writes numbered events
 * @param metrics counts the refusals by reason
 */
record RefusalLog(EffectHandler<Effect.Log> log, MetricRegistry metrics) {
    void note(Refusal refusal) {
        note(refusal, Map.of());
    }

    /** Logs a refusal that rests on the configuration in force, with its revision and age. */
    void note(Refusal refusal, ConfigurationSource configuration) {
        note(refusal, Map.of("revision", configuration.current().revision(), "config_age_ms", configuration.ageMs()));
    }

    private void note(Refusal refusal, Map<String, Object> fields) {
        metrics.counter("front.refused." + refusal.reason()).inc();
        String detail = refusal.status() + " " + refusal.reason() + ": " + refusal.detail();
        log.handle(new Effect.Log(EventCode.BAD_REQUEST, detail, fields));
    }
}
