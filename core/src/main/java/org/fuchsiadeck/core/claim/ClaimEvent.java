package org.fuchsiadeck.core.claim;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.Checks;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * What the requests ask of the claims. The answer to {@link Wanted} is a
 * {@link org.fuchsiadeck.core.request.RequestEvent.ClaimGranted} or
 * {@link org.fuchsiadeck.core.request.RequestEvent.ClaimDenied}.
 */
public sealed interface ClaimEvent extends Event {
    /**
     * A request wants its idempotency key.
     *
     * @param id the request
     * @param key the key, with team and route as its scope
     */
    record Wanted(RequestId id, String key) implements ClaimEvent {
        public Wanted {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
        }
    }

    /**
     * A request that held or wanted its idempotency key has ended.
     *
     * @param id the request
     * @param key the key
     * @param settlement how it ended
     */
    record Settled(RequestId id, String key, Settlement settlement) implements ClaimEvent {
        public Settled {
            requireNonNull(id, "id");
            Checks.notBlank(key, "key");
            requireNonNull(settlement, "settlement");
        }
    }

    /** The next round of upkeep begins. */
    record Ticked() implements ClaimEvent {}

    /**
     * A claim that is not decided is to be asked for again, or given up.
     *
     * @param number the number of the claim
     */
    record RetryDue(long number) implements ClaimEvent {}

    /** How a request ended. */
    enum Settlement {
        /** A backend server answered it whole. */
        ANSWERED,
        /** It was certainly not run; the key may be used again. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN
    }
}
