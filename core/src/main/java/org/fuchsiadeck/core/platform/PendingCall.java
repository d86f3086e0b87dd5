package org.fuchsiadeck.core.platform;

import java.util.Optional;

import static java.util.Objects.requireNonNull;

/**
 * A call of which nothing has come back, and when the next may be made.
 *
 * @param tag the call's tag; empty if there is none
 * @param untilMs when the call is given up, or when the next may be made, in milliseconds
 */
public record PendingCall(Optional<String> tag, long untilMs) {
    /** No call, and the next may be made at once. */
    public static final PendingCall NONE = new PendingCall(Optional.empty(), 0);

    /** How long an answer may take: many times the few milliseconds it usually takes. */
    private static final long CALL_TIMEOUT_MS = 1_500;

    public PendingCall {
        requireNonNull(tag, "tag");
    }

    /**
     * Notes a call that is made now.
     *
     * @param tag the call's tag
     * @param nowMs the time, in milliseconds
     * @return the call in progress
     */
    public static PendingCall of(String tag, long nowMs) {
        return new PendingCall(Optional.of(tag), nowMs + CALL_TIMEOUT_MS);
    }

    /**
     * Puts the next call off.
     *
     * @param nowMs the time, in milliseconds
     * @param pauseMs for how long, in milliseconds
     * @return no call in progress
     */
    public static PendingCall pause(long nowMs, long pauseMs) {
        return new PendingCall(Optional.empty(), nowMs + pauseMs);
    }

    /**
     * Tells whether a call may be made.
     *
     * @param nowMs the time, in milliseconds
     * @return whether none is in progress and the pause is over
     */
    public boolean isCallAllowed(long nowMs) {
        return nowMs >= untilMs;
    }

    /**
     * Tells whether an answer is that of the call in progress.
     *
     * @param other the answer's tag
     * @return whether it is
     */
    public boolean awaits(String other) {
        return tag.filter(other::equals).isPresent();
    }

    /**
     * Tells whether an event ends the call in progress.
     *
     * @param event what came from the platform
     * @return whether it is the result of that call
     */
    public boolean isEndedBy(PlatformEvent event) {
        return event instanceof PlatformEvent.Found found && awaits(found.tag())
                || event instanceof PlatformEvent.Written written && awaits(written.tag())
                || event instanceof PlatformEvent.Conflicted conflicted && awaits(conflicted.tag())
                || event instanceof PlatformEvent.CallFailed failed && awaits(failed.tag());
    }
}
