package org.fuchsiadeck.node.exchange;

import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;

import static java.util.Objects.requireNonNull;

/**
 * A final answer that the node gives by itself.
 *
 * @param outcome what is known of the request
 * @param status the HTTP status
 * @param retryAfterMs when to come back, in milliseconds; 0 for no advice
 * @param reason a short machine-readable reason
 * @param detail one sentence for a person
 */
public record Refusal(Outcome outcome, int status, long retryAfterMs, String reason, String detail) {
    public Refusal {
        requireNonNull(outcome, "outcome");
        requireNonNull(reason, "reason");
        requireNonNull(detail, "detail");
    }

    /**
     * Returns the refusal of a request that was not run and that gains nothing from a retry.
     *
     * @param status the HTTP status
     * @param reason a short machine-readable reason
     * @param detail one sentence for a person
     * @return the refusal
     */
    public static Refusal notRun(int status, String reason, String detail) {
        return new Refusal(Outcome.NOT_RUN, status, 0, reason, detail);
    }

    /**
     * Returns the refusal that an effect asks for.
     *
     * @param effect the effect
     * @return the refusal
     */
    public static Refusal of(RequestEffect.Respond effect) {
        return new Refusal(effect.outcome(), effect.status(), effect.retryAfterMs(), effect.reason(), effect.detail());
    }
}
