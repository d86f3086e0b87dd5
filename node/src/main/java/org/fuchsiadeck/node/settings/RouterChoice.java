package org.fuchsiadeck.node.settings;

import java.util.Arrays;
import java.util.function.Supplier;

import org.fuchsiadeck.core.routing.Router;

/**
 * How a node chooses backend servers. All but the first are baselines to measure against.
 */
public enum RouterChoice {
    /** The router in normal use. */
    BETTER_OF_TWO("better-of-two", Router::betterOfTwo),
    /** The servers in turn. */
    ROUND_ROBIN("round-robin", Router::roundRobin),
    /** The server with the fewest attempts of this node in progress. */
    LEAST_IN_FLIGHT("least-in-flight", Router::leastInFlight),
    /** The server where the first token is expected soonest, with a home for each common prefix. */
    AFFINITY("affinity", Router::affinity);

    private final String word;
    private final Supplier<Router> maker;

    RouterChoice(String word, Supplier<Router> maker) {
        this.word = word;
        this.maker = maker;
    }

    /**
     * Finds a choice.
     *
     * @param word the choice as settings name it
     * @return the choice
     * @throws IllegalArgumentException if there is none of the name
     */
    public static RouterChoice parse(String word) {
        return Arrays.stream(values())
                .filter(r -> r.word.equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "must be better-of-two, round-robin, least-in-flight or affinity, was " + word));
    }

    /**
     * Makes the router.
     *
     * @return the router
     */
    public Router router() {
        return maker.get();
    }
}
