package org.fuchsiadeck.node.front;

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
        metrics.counter("front.refused." + refusal.reason()).inc();
        log.handle(new Effect.Log(
                EventCode.BAD_REQUEST, refusal.status() + " " + refusal.reason() + ": " + refusal.detail()));
    }
}
