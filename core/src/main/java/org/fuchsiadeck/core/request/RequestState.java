package org.fuchsiadeck.core.request;

import java.util.function.ToIntFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.control.Option;
import org.fuchsiadeck.core.config.PolicyTable;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.RetryBudget;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;

import static java.util.Objects.requireNonNull;

/**
 * The callers' requests in progress and what is known of the backend servers.
 *
 * @param fleet the backend servers
 * @param open the requests in progress
 * @param queues for each service, the requests that wait
 * @param loads for each service, the attempts in progress
 * @param budget the retries left
 * @param draws random numbers drawn so far
 * @param drain the graceful shutdown, if one is under way
 * @param decisions the last decisions, the oldest first
 * @param counters what has been counted
 * @param policies the policies that were asked for
 */
public record RequestState(
        Fleet fleet,
        Map<RequestId, Exchange> open,
        Map<String, FairQueue> queues,
        Map<String, ServiceLoad> loads,
        RetryBudget budget,
        long draws,
        Option<Drain> drain,
        Queue<Decision> decisions,
        Counters counters,
        PolicyTable policies) {
    public RequestState {
        requireNonNull(fleet, "fleet");
        requireNonNull(budget, "budget");
        requireNonNull(drain, "drain");
        requireNonNull(counters, "counters");
        requireNonNull(policies, "policies");
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RequestState initial() {
        return new RequestState(
                Fleet.EMPTY,
                HashMap.empty(),
                HashMap.empty(),
                HashMap.empty(),
                RetryBudget.initial(),
                0,
                Option.none(),
                Queue.empty(),
                Counters.ZERO,
                PolicyTable.EMPTY);
    }

    /**
     * Returns the backend servers known.
     *
     * @return the servers by id
     */
    public Map<BackendId, Backend> backends() {
        return fleet.servers().mapValues(s -> s.backend());
    }

    /**
     * Counts the attempts in progress at each server.
     *
     * @return attempts by server, without servers that have none
     */
    public java.util.Map<BackendId, Integer> inFlight() {
        return positive(BackendStatus::inFlight);
    }

    /**
     * Counts the prompt tokens that servers have still to read before the first token of an attempt.
     *
     * @return tokens by server, without servers that have none
     */
    public java.util.Map<BackendId, Integer> unread() {
        return positive(BackendStatus::unread);
    }

    private java.util.Map<BackendId, Integer> positive(ToIntFunction<BackendStatus> amount) {
        java.util.Map<BackendId, Integer> amounts = new java.util.HashMap<>();
        for (BackendStatus server : fleet.servers().values()) {
            int value = amount.applyAsInt(server);
            if (value > 0) {
                amounts.put(server.backend().id(), value);
            }
        }
        return amounts;
    }

    RequestState with(Fleet next) {
        return new RequestState(next, open, queues, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withOpen(Map<RequestId, Exchange> next) {
        return new RequestState(fleet, next, queues, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withQueue(String service, FairQueue next) {
        Map<String, FairQueue> all = next.size() == 0 ? queues.remove(service) : queues.put(service, next);
        return new RequestState(fleet, open, all, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withLoad(String service, ServiceLoad next) {
        return new RequestState(
                fleet, open, queues, loads.put(service, next), budget, draws, drain, decisions, counters, policies);
    }

    RequestState with(RetryBudget next) {
        return new RequestState(fleet, open, queues, loads, next, draws, drain, decisions, counters, policies);
    }

    RequestState drawn() {
        return new RequestState(fleet, open, queues, loads, budget, draws + 1, drain, decisions, counters, policies);
    }

    RequestState with(Drain next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, Option.some(next), decisions, counters, policies);
    }

    RequestState withDecisions(Queue<Decision> next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, next, counters, policies);
    }

    RequestState with(Counters next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, decisions, next, policies);
    }

    RequestState with(PolicyTable next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, decisions, counters, next);
    }
}
