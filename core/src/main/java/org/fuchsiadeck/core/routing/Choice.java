package org.fuchsiadeck.core.routing;

import java.util.Optional;

import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The server a router chose, and against what.
 *
 * @param server the server
 * @param score its score, the less the better
 * @param runnerUp the next best server that was looked at
 * @param runnerUpScore the score of the other
 * @param unread tokens of the prompt that the server is expected to read; the whole prompt if nothing tells
 */
public record Choice(
        BackendStatus server, double score, Optional<BackendId> runnerUp, double runnerUpScore, int unread) {
    public Choice {
        requireNonNull(server, "server");
        requireNonNull(runnerUp, "other");
    }

    /**
     * Makes a choice by a router that does not know what servers have read.
     *
     * @param server the server
     * @param score its score
     * @param other the next best server that was looked at
     * @param otherScore the score of the other
     */
    public Choice(BackendStatus server, double score, Optional<BackendId> other, double otherScore) {
        this(server, score, other, otherScore, Integer.MAX_VALUE);
    }

    static Choice withoutRunnerUp(BackendStatus server, double score) {
        return new Choice(server, score, Optional.empty(), 0);
    }

    Choice withUnread(int tokens) {
        return new Choice(server, score, runnerUp, runnerUpScore, tokens);
    }

    /**
     * Returns the choice in words.
     *
     * @return the servers and their scores
     */
    public String reason() {
        String chosen = text(server.backend().id(), score);
        return runnerUp.map(o -> chosen + " over " + text(o, runnerUpScore)).orElse(chosen);
    }

    private static String text(BackendId id, double score) {
        long thousandths = Math.round(score * 1_000);
        return id + " at " + thousandths + "/1000";
    }
}
