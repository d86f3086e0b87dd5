package org.fuchsiadeck.core.desk;

import io.vavr.control.Either;
import org.fuchsiadeck.core.rollout.RolloutOrder;

/**
 * How orders of rollouts and their standing are written down.
 */
public interface RolloutOrderCodec {
    /**
     * Reads an order.
     *
     * @param value the text
     * @param number the order's number
     * @return the order, or what is wrong with the text
     */
    Either<String, RolloutOrder> parseOrder(String value, long number);

    /**
     * Writes how a rollout stands.
     *
     * @param target the new version
     * @param standing how the rollout stands
     * @return the text
     */
    String serializeStatus(String target, RolloutStatus standing);

    /** How a rollout stands. */
    enum RolloutStatus {
        /** It is under way. */
        RUNNING,
        /** The new version has taken over. */
        DONE,
        /** The new version was found bad, and the old one has the traffic. */
        TAKEN_BACK
    }
}
