package org.fuchsiadeck.core.request;

import java.util.function.ToIntFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.control.Option;
import org.fuchsiadeck.core.config.PolicyCache;
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
 * Holds the callers' requests in progress, the known backend servers and the counters of an entry node.
 *
 * @param fleet the known backend servers
 * @param open the requests in progress, by id
 * @param queues the queued requests, by service
 * @param loads the attempts in progress and their mean times, by service
 * @param budget the budget for retries
 * @param draws the number of pseudo-random values drawn so far
 * @param drain the graceful shutdown in progress, if any
 * @param decisions the latest decisions, oldest first
 * @param counters the counters since the node started
 * @param policies the cached policies
 */
public record RequestState(
        Fleet fleet,
        Map<RequestId, ActiveRequest> open,
        Map<String, FairQueue> queues,
        Map<String, ServiceLoad> loads,
        RetryBudget budget,
        long draws,
        Option<DrainState> drain,
        Queue<Decision> decisions,
        RequestCounters counters,
        PolicyCache policies) {
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
     * @return the initial state
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
                RequestCounters.ZERO,
                PolicyCache.EMPTY);
    }

    /**
     * Returns the known backend servers.
     *
     * @return the servers, by id
     */
    public Map<BackendId, Backend> backends() {
        return fleet.servers().mapValues(s -> s.backend());
    }

    /**
     * Returns the number of this node's attempts in progress at each server.
     *
     * @return the number of attempts, by server; servers without attempts are left out
     */
    public java.util.Map<BackendId, Integer> inFlight() {
        return positiveValues(BackendStatus::inFlight);
    }

    /**
     * Returns the number of prompt tokens that each server still has to process for this node's attempts that have no
     * first byte yet.
     *
     * @return the number of tokens, by server; servers without such tokens are left out
     */
    public java.util.Map<BackendId, Integer> unread() {
        return positiveValues(BackendStatus::unread);
    }

    private java.util.Map<BackendId, Integer> positiveValues(ToIntFunction<BackendStatus> property) {
        java.util.Map<BackendId, Integer> values = new java.util.HashMap<>();
        for (BackendStatus server : fleet.servers().values()) {
            int value = property.applyAsInt(server);
            if (value > 0) {
                values.put(server.backend().id(), value);
            }
        }
        return values;
    }

    RequestState with(Fleet next) {
        return new RequestState(next, open, queues, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withOpen(Map<RequestId, ActiveRequest> next) {
        return new RequestState(fleet, next, queues, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withQueue(String service, FairQueue next) {
        Map<String, FairQueue> all = next.isForgotten() ? queues.remove(service) : queues.put(service, next);
        return new RequestState(fleet, open, all, loads, budget, draws, drain, decisions, counters, policies);
    }

    RequestState withLoad(String service, ServiceLoad next) {
        return new RequestState(
                fleet, open, queues, loads.put(service, next), budget, draws, drain, decisions, counters, policies);
    }

    RequestState with(RetryBudget next) {
        return new RequestState(fleet, open, queues, loads, next, draws, drain, decisions, counters, policies);
    }

    RequestState withNextDraw() {
        return new RequestState(fleet, open, queues, loads, budget, draws + 1, drain, decisions, counters, policies);
    }

    RequestState with(DrainState next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, Option.some(next), decisions, counters, policies);
    }

    RequestState withDecisions(Queue<Decision> next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, next, counters, policies);
    }

    RequestState with(RequestCounters next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, decisions, next, policies);
    }

    RequestState with(PolicyCache next) {
        return new RequestState(fleet, open, queues, loads, budget, draws, drain, decisions, counters, next);
    }
}
