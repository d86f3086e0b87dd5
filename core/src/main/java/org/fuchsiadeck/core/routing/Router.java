package org.fuchsiadeck.core.routing;

import io.vavr.control.Option;

/**
 * Chooses a backend server for a request.
 */
@FunctionalInterface
public interface Router {
    /**
     * Chooses one of the servers that may take the request now.
     *
     * @param candidates the servers
     * @param query what is known of the request
     * @return the choice; none if no server may take it
     */
    Option<Choice> choose(Candidates candidates, RoutingContext query);

    /**
     * Returns the router that compares two seeded picks, and a server that should hold the prompt's prefix, by load,
     * prefix, availability zone and price.
     *
     * @return the router in normal use
     */
    static Router betterOfTwo() {
        return new BetterOfTwoRouter();
    }

    /**
     * Returns the router that sends prompts with a common prefix to the same server, at all nodes alike.
     *
     * @return the router
     */
    static Router affinity() {
        return new AffinityRouter();
    }

    /**
     * Returns a router that takes the servers in turn.
     *
     * @return a baseline to measure against
     */
    static Router roundRobin() {
        return (candidates, query) -> {
            if (candidates.ids().isEmpty()) {
                return Option.none();
            }
            int from = (int) (query.previousChoices() % candidates.ids().size());
            int index = candidates.nextUsable(from);
            return Option.when(index >= 0, () -> Choice.withoutRunnerUp(candidates.get(index), 0));
        };
    }

    /**
     * Returns a router that takes the server with the fewest attempts of this node in progress.
     *
     * @return a baseline to measure against
     */
    static Router leastInFlight() {
        return (candidates, query) -> candidates
                .ids()
                .flatMap(candidates.usable())
                .minBy(BackendStatus::inFlight)
                .map(s -> Choice.withoutRunnerUp(s, s.inFlight()));
    }
}
