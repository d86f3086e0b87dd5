package org.fuchsiadeck.core.desk;

import io.vavr.control.Either;
import org.fuchsiadeck.core.rollout.RolloutOrder;

/**
 * Parses rollout orders and serializes the status of rollouts.
 */
public interface RolloutOrderCodec {
    /**
     * Parses an order.
     *
     * @param value the text
     * @param number the order's number
     * @return the order, or an error message if the text is not valid
     */
    Either<String, RolloutOrder> parseOrder(String value, long number);

    /**
     * Serializes the status of a rollout.
     *
     * @param target the new version
     * @param status the status of the rollout
     * @return the text
     */
    String serializeStatus(String target, RolloutStatus status);

    /** The status of a rollout. */
    enum RolloutStatus {
        /** The rollout is in progress. */
        RUNNING,
        /** The new version receives all traffic. */
        DONE,
        /** The new version was found faulty, and the old version receives all traffic again. */
        TAKEN_BACK
    }
}
