package org.fuchsiadeck.core.claim;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * An event that creates, settles or retries idempotency claims. {@link Wanted} is answered by a
 * {@link org.fuchsiadeck.core.request.RequestEvent.ClaimGranted} or
 * {@link org.fuchsiadeck.core.request.RequestEvent.ClaimDenied}.
 */
public sealed interface ClaimEvent extends Event {
    /**
     * A request needs a claim on its idempotency key.
     *
     * @param id the request
     * @param key the idempotency key, prefixed with its scope (team and route)
     */
    record Wanted(RequestId id, String key) implements ClaimEvent {
        public Wanted {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
        }
    }

    /**
     * A request that has a claim on its idempotency key, or is waiting for one, has ended.
     *
     * @param id the request
     * @param key the idempotency key
     * @param settlement the outcome of the request
     */
    record Settled(RequestId id, String key, Settlement settlement) implements ClaimEvent {
        public Settled {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
            requireNonNull(settlement, "settlement");
        }
    }

    /** The periodic maintenance of claims and rosters is due. */
    record Ticked() implements ClaimEvent {}

    /**
     * The requests for an undecided claim are to be sent again, or the claim is to be abandoned after its deadline.
     *
     * @param number the number of the claim
     */
    record RetryDue(long number) implements ClaimEvent {}

    /** The outcome of a request. */
    enum Settlement {
        /** A backend server answered it completely. */
        ANSWERED,
        /** It was definitely not run; the key may be used again. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN
    }
}
