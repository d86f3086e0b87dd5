package org.fuchsiadeck.core.request;

import java.util.function.ToIntFunction;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.config.PolicyCache;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.RetryBudget;
import org.fuchsiadeck.core.limit.ServiceCapacity;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.Need;
import org.fuchsiadeck.core.routing.ZoneSpill;
import org.fuchsiadeck.core.speed.SpeedState;

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
 * @param spills the spillover to other availability zones, by need
 * @param speeds what is known of the speed of the servers
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
        PolicyCache policies,
        Map<Need, ZoneSpill> spills,
        SpeedState speeds) {
    public RequestState {
        requireNonNull(fleet, "fleet");
        requireNonNull(budget, "budget");
        requireNonNull(drain, "drain");
        requireNonNull(counters, "counters");
        requireNonNull(policies, "policies");
        requireNonNull(spills, "spills");
        requireNonNull(speeds, "speeds");
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
                PolicyCache.EMPTY,
                HashMap.empty(),
                SpeedState.NONE);
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

    /**
     * Returns the availability zones with servers, as far as spillover is computed for any.
     *
     * @return the zones
     */
    public Set<Zone> spillZones() {
        return spills.values().flatMap(s -> s.loads().keySet()).toSet();
    }

    /**
     * Returns the fraction of this node's requests that is sent to another availability zone because this node's zone is
     * short of servers.
     *
     * @param zone the other zone
     * @return the greatest fraction of any need, from 0 to 1
     */
    public double spillFraction(Zone zone) {
        return spills.values()
                .map(s -> s.fractions().getOrElse(zone, 0.0))
                .max()
                .getOrElse(0.0);
    }

    /**
     * Returns the number of queued requests of each service whose capacity all nodes share.
     *
     * @return the number of requests, by service; services without any are left out
     */
    public java.util.Map<String, Integer> waiting() {
        return queues.filter((s, q) -> q.size() > 0 && !capacity(s).pools().isEmpty())
                .mapValues(FairQueue::size)
                .toJavaMap();
    }

    /**
     * Returns the capacity of a service that all nodes share.
     *
     * @param service the name of the service
     * @return the capacity
     */
    public ServiceCapacity capacity(String service) {
        return loads.getOrElse(service, ServiceLoad.NONE).capacity();
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
        return new RequestState(
                next, open, queues, loads, budget, draws, drain, decisions, counters, policies, spills, speeds);
    }

    RequestState withOpen(Map<RequestId, ActiveRequest> next) {
        return new RequestState(
                fleet, next, queues, loads, budget, draws, drain, decisions, counters, policies, spills, speeds);
    }

    RequestState withQueue(String service, FairQueue next) {
        Map<String, FairQueue> all = next.isForgotten() ? queues.remove(service) : queues.put(service, next);
        return new RequestState(
                fleet, open, all, loads, budget, draws, drain, decisions, counters, policies, spills, speeds);
    }

    RequestState withLoad(String service, ServiceLoad next) {
        return new RequestState(
                fleet,
                open,
                queues,
                loads.put(service, next),
                budget,
                draws,
                drain,
                decisions,
                counters,
                policies,
                spills,
                speeds);
    }

    RequestState with(RetryBudget next) {
        return new RequestState(
                fleet, open, queues, loads, next, draws, drain, decisions, counters, policies, spills, speeds);
    }

    RequestState withNextDraw() {
        return new RequestState(
                fleet, open, queues, loads, budget, draws + 1, drain, decisions, counters, policies, spills, speeds);
    }

    RequestState with(DrainState next) {
        return new RequestState(
                fleet,
                open,
                queues,
                loads,
                budget,
                draws,
                Option.some(next),
                decisions,
                counters,
                policies,
                spills,
                speeds);
    }

    RequestState withDecisions(Queue<Decision> next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, drain, next, counters, policies, spills, speeds);
    }

    RequestState with(RequestCounters next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, drain, decisions, next, policies, spills, speeds);
    }

    RequestState with(PolicyCache next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, drain, decisions, counters, next, spills, speeds);
    }

    RequestState withSpills(Map<Need, ZoneSpill> next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, drain, decisions, counters, policies, next, speeds);
    }

    RequestState with(SpeedState next) {
        return new RequestState(
                fleet, open, queues, loads, budget, draws, drain, decisions, counters, policies, spills, next);
    }
}
