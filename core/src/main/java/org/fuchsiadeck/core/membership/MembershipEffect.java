package org.fuchsiadeck.core.membership;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.Address;

import static java.util.Objects.requireNonNull;

/**
 * The effects of membership decisions.
 */
public sealed interface MembershipEffect extends Effect {
    /**
     * Sends a message to the entry node at an address, whatever its id. Delivery is not guaranteed.
     *
     * @param to the address
     * @param message the message
     */
    record SendTo(Address to, PeerMessage message) implements MembershipEffect {
        public SendTo {
            requireNonNull(to, "to");
            requireNonNull(message, "message");
        }
    }
}
