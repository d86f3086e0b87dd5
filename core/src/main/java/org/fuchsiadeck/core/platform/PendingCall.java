package org.fuchsiadeck.core.platform;

import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * A call to the platform that has no result yet, or the pause before the next call.
 *
 * @param tag the call's tag; empty if no call is in progress
 * @param untilMs when the call times out, or when the pause ends, in milliseconds
 */
public record PendingCall(Optional<String> tag, long untilMs) {
    /** No call in progress and no pause. */
    public static final PendingCall NONE = new PendingCall(Optional.empty(), 0);

    /** Time-out of a call. Answers usually take a few milliseconds. */
    private static final long CALL_TIMEOUT_MS = 1_500;

    public PendingCall {
        requireNonNull(tag, "tag");
    }

    /**
     * Returns a call that is sent now.
     *
     * @param tag the call's tag
     * @param nowMs the current time, in milliseconds
     * @return the call in progress
     */
    public static PendingCall of(String tag, long nowMs) {
        return new PendingCall(Optional.of(tag), nowMs + CALL_TIMEOUT_MS);
    }

    /**
     * Returns a pause before the next call.
     *
     * @param nowMs the current time, in milliseconds
     * @param pauseMs the length of the pause, in milliseconds
     * @return the pause, without a call in progress
     */
    public static PendingCall pause(long nowMs, long pauseMs) {
        return new PendingCall(Optional.empty(), nowMs + pauseMs);
    }

    /**
     * Returns whether the next call may be sent.
     *
     * @param nowMs the current time, in milliseconds
     * @return whether the pause is over and no call is in progress, except one that has timed out
     */
    public boolean isCallAllowed(long nowMs) {
        return nowMs >= untilMs;
    }

    /**
     * Returns whether a result belongs to the call in progress.
     *
     * @param other the tag of the result
     * @return whether the tags are equal
     */
    public boolean awaits(String other) {
        return tag.filter(other::equals).isPresent();
    }

    /**
     * Returns whether an event is the result of the call in progress, which must be a read or a write of one key.
     *
     * @param event the event
     * @return whether it ends that call
     */
    public boolean isEndedBy(PlatformEvent event) {
        return event instanceof PlatformEvent.Found found && awaits(found.tag())
                || event instanceof PlatformEvent.Written written && awaits(written.tag())
                || event instanceof PlatformEvent.Conflicted conflicted && awaits(conflicted.tag())
                || event instanceof PlatformEvent.CallFailed failed && awaits(failed.tag());
    }
}
