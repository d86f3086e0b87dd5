package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.routing.BackendStatus;

import static java.util.Objects.requireNonNull;

/**
 * The attempt a request waits for.
 *
 * @param number from 1
 * @param backend the server
 * @param cause why it was dispatched
 * @param dispatchedMs when it was dispatched, in milliseconds
 * @param load this node's attempts in progress at the server when it was dispatched
 * @param trial whether it is the trial of a suspected server
 * @param written whether a byte of the request was, or is about to be, written
 * @param firstByteMs when the answer began, in milliseconds; -1 if it has not
 * @param startTokens tokens passed on before this attempt
 * @param tokens tokens passed on so far, over all attempts
 * @param lastMs when the attempt was last heard of, in milliseconds
 * @param dueMs when it must be heard of next, in milliseconds
 * @param armedMs when its timer fires, in milliseconds
 * @param unread prompt tokens that the server had to read when it was dispatched
 */
public record Attempt(
        int number,
        Backend backend,
        Cause cause,
        long dispatchedMs,
        int load,
        boolean trial,
        boolean written,
        long firstByteMs,
        int startTokens,
        int tokens,
        long lastMs,
        long dueMs,
        long armedMs,
        int unread) {
    public Attempt {
        requireNonNull(backend, "backend");
        requireNonNull(cause, "cause");
    }

    static Attempt dispatched(
            int number, BackendStatus server, Cause cause, long nowMs, int tokens, long dueMs, int unread) {
        boolean trial = server.health().isTrialDue(nowMs);
        return new Attempt(
                number,
                server.backend(),
                cause,
                nowMs,
                server.inFlight(),
                trial,
                false,
                -1,
                tokens,
                tokens,
                nowMs,
                dueMs,
                dueMs,
                unread);
    }

    Attempt markWritten(long nowMs, long due) {
        return new Attempt(
                number,
                backend,
                cause,
                dispatchedMs,
                load,
                trial,
                true,
                firstByteMs,
                startTokens,
                tokens,
                nowMs,
                due,
                armedMs,
                unread);
    }

    Attempt answered(long nowMs, long due) {
        long first = firstByteMs < 0 ? nowMs : firstByteMs;
        return new Attempt(
                number,
                backend,
                cause,
                dispatchedMs,
                load,
                trial,
                true,
                first,
                startTokens,
                tokens,
                nowMs,
                due,
                armedMs,
                unread);
    }

    Attempt progressed(int delivered, long nowMs, long due) {
        return new Attempt(
                number,
                backend,
                cause,
                dispatchedMs,
                load,
                trial,
                true,
                firstByteMs < 0 ? nowMs : firstByteMs,
                startTokens,
                Math.max(tokens, delivered),
                nowMs,
                due,
                armedMs,
                unread);
    }

    Attempt due(long due) {
        return new Attempt(
                number,
                backend,
                cause,
                dispatchedMs,
                load,
                trial,
                written,
                firstByteMs,
                startTokens,
                tokens,
                lastMs,
                due,
                armedMs,
                unread);
    }

    Attempt armed(long atMs) {
        return new Attempt(
                number,
                backend,
                cause,
                dispatchedMs,
                load,
                trial,
                written,
                firstByteMs,
                startTokens,
                tokens,
                lastMs,
                dueMs,
                atMs,
                unread);
    }

    /**
     * Returns the time from dispatch to the first byte of the answer.
     *
     * @return the time, in milliseconds; -1 if none came
     */
    long waitMs() {
        return firstByteMs < 0 ? -1 : firstByteMs - dispatchedMs;
    }

    /**
     * Returns the stream's pace in this attempt.
     *
     * @return the time between tokens on average, in milliseconds; -1 if no two tokens came
     */
    double perTokenMs() {
        int count = tokens - startTokens;
        return count < 2 || firstByteMs < 0 ? -1 : (double) (lastMs - firstByteMs) / (count - 1);
    }
}
