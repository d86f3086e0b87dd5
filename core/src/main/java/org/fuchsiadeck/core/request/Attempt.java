package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.routing.BackendStatus;

import static java.util.Objects.requireNonNull;

/**
 * An attempt of an entry node to have a request served by a backend server.
 *
 * @param number the number of the attempt within its request, from 1
 * @param backend the server
 * @param cause why it was dispatched
 * @param dispatchedMs the time of dispatch, in milliseconds
 * @param load the number of this node's attempts in progress at the server at the time of dispatch
 * @param trial whether the attempt tests a suspected server
 * @param written whether a byte of the request was written or is about to be written
 * @param firstByteMs the time of the answer's first byte, in milliseconds; -1 if none has arrived
 * @param startTokens the number of tokens relayed to the caller before this attempt
 * @param tokens the number of tokens relayed to the caller so far, over all attempts
 * @param lastMs the time of the last event of the attempt, in milliseconds
 * @param dueMs the time by which the next event must arrive, in milliseconds
 * @param armedMs the time at which the attempt's timer fires, in milliseconds
 * @param unread the number of prompt tokens that the server had to process at the time of dispatch
 * @param unreadAhead the number of prompt tokens of this node's earlier attempts that it had to process at that time
 */
public record Attempt(
        int number,
        Backend backend,
        DispatchCause cause,
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
        int unread,
        int unreadAhead) {
    public Attempt {
        requireNonNull(backend, "backend");
        requireNonNull(cause, "cause");
    }

    static Attempt dispatched(
            int number, BackendStatus server, DispatchCause cause, long nowMs, int tokens, long dueMs, int unread) {
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
                unread,
                server.unread());
    }

    Attempt withWritten(long nowMs, long due) {
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
                unread,
                unreadAhead);
    }

    Attempt withFirstByte(long nowMs, long due) {
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
                unread,
                unreadAhead);
    }

    Attempt withProgress(int delivered, long nowMs, long due) {
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
                unread,
                unreadAhead);
    }

    Attempt withDue(long due) {
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
                unread,
                unreadAhead);
    }

    Attempt withTimer(long atMs) {
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
                unread,
                unreadAhead);
    }

    /**
     * Returns the time from dispatch to the first byte of the answer, in milliseconds; -1 if none has arrived.
     */
    long firstByteLatencyMs() {
        return firstByteMs < 0 ? -1 : firstByteMs - dispatchedMs;
    }

    /**
     * Returns the mean time between tokens of this attempt, in milliseconds; -1 if fewer than two have arrived.
     */
    double perTokenMs() {
        int count = tokens - startTokens;
        return count < 2 || firstByteMs < 0 ? -1 : (double) (lastMs - firstByteMs) / (count - 1);
    }
}
