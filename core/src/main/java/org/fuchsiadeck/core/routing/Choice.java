package org.fuchsiadeck.core.routing;

import java.util.Optional;

import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * The backend server that a router chose for a request, with its score and the runner-up.
 *
 * @param server the chosen server
 * @param score its score; lower is better
 * @param runnerUp the server with the next best score; empty if no other was compared
 * @param runnerUpScore the score of the runner-up; 0 if there is none
 * @param unread prompt tokens that the server is expected to process because they are not in its cache; {@link
 *     Integer#MAX_VALUE}, which stands for the whole prompt, if unknown
 */
public record Choice(
        BackendStatus server, double score, Optional<BackendId> runnerUp, double runnerUpScore, int unread) {
    public Choice {
        requireNonNull(server, "server");
        requireNonNull(runnerUp, "runnerUp");
    }

    /**
     * Creates the choice of a router that does not estimate what servers have cached.
     *
     * @param server the chosen server
     * @param score its score
     * @param runnerUp the server with the next best score; empty if no other was compared
     * @param runnerUpScore the score of the runner-up; 0 if there is none
     */
    public Choice(BackendStatus server, double score, Optional<BackendId> runnerUp, double runnerUpScore) {
        this(server, score, runnerUp, runnerUpScore, Integer.MAX_VALUE);
    }

    static Choice withoutRunnerUp(BackendStatus server, double score) {
        return new Choice(server, score, Optional.empty(), 0);
    }

    Choice withUnread(int tokens) {
        return new Choice(server, score, runnerUp, runnerUpScore, tokens);
    }

    /**
     * Describes the choice for the decision log.
     *
     * @return the servers and their scores in thousandths
     */
    public String reason() {
        String chosen = describe(server.backend().id(), score);
        return runnerUp.map(o -> chosen + " over " + describe(o, runnerUpScore)).orElse(chosen);
    }

    private static String describe(BackendId id, double score) {
        long thousandths = Math.round(score * 1_000);
        return id + " at " + thousandths + "/1000";
    }
}
