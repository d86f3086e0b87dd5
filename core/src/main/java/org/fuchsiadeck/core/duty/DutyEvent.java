package org.fuchsiadeck.core.duty;

import org.fuchsiadeck.core.Event;

import static java.util.Objects.requireNonNull;

/**
 * An event for the reducer of the leader's duties.
 */
public sealed interface DutyEvent extends Event {
    /** A periodic timer fired, and due calls are made. */
    record Tick() implements DutyEvent {}

    /**
     * A platform call of a {@link DutyEffect} ended.
     *
     * @param tag the call's tag
     * @param result its result
     * @param detail details for the log, such as the status code
     */
    record Called(String tag, Result result, String detail) implements DutyEvent {
        public Called {
            requireNonNull(tag, "tag");
            requireNonNull(result, "result");
            requireNonNull(detail, "detail");
        }
    }

    /** The result of a call. */
    enum Result {
        /** The call took effect. */
        DONE,
        /** The platform currently has no server of the ordered kind in the zone. */
        NONE_TO_BE_HAD,
        /** The call failed, or its response was lost. */
        FAILED
    }
}
