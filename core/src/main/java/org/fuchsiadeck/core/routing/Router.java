package org.fuchsiadeck.core.routing;

import io.vavr.control.Option;

/**
 * A strategy that chooses a backend server for a request.
 */
@FunctionalInterface
public interface Router {
    /**
     * Chooses one of the servers that may take the request now.
     *
     * @param candidates the servers to choose from
     * @param context what is known of the request
     * @return the choice; none if no server may take the request
     */
    Option<Choice> choose(Candidates candidates, RoutingContext context);

    /**
     * Returns the router that compares two random servers, and the servers that probably have the prompt's prefix
     * cached, by load, cached prefix, availability zone and price.
     *
     * @return the router for normal use
     */
    static Router betterOfTwo() {
        return new BetterOfTwoRouter();
    }

    /**
     * Returns the router that sends prompts with a common prefix to the same server from all nodes.
     *
     * @return the router with prefix affinity
     */
    static Router affinity() {
        return new AffinityRouter();
    }

    /**
     * Returns the router that uses the servers in turn.
     *
     * @return a baseline for comparisons
     */
    static Router roundRobin() {
        return (candidates, context) -> {
            if (candidates.ids().isEmpty()) {
                return Option.none();
            }
            int from = (int) (context.previousChoices() % candidates.ids().size());
            int index = candidates.nextUsable(from);
            return Option.when(index >= 0, () -> Choice.withoutRunnerUp(candidates.get(index), 0));
        };
    }

    /**
     * Returns the router that chooses the server with the fewest attempts of this node in progress.
     *
     * @return a baseline for comparisons
     */
    static Router leastInFlight() {
        return (candidates, context) -> candidates
                .ids()
                .flatMap(candidates.usable())
                .minBy(BackendStatus::inFlight)
                .map(s -> Choice.withoutRunnerUp(s, s.inFlight()));
    }
}
