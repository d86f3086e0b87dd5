package org.fuchsiadeck.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.function.UnaryOperator;

import io.vavr.collection.Array;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.Peers;

/**
 * The backend servers as one node knows them, and the prompt prefixes that it sent to each.
 *
 * @param servers the status of the servers that are listed, have attempts in progress or asked for a pause
 * @param departures the departures of servers that leave, including those not listed
 * @param pools a cache of the servers that meet a need; valid until the list or the peers change
 * @param peers the other nodes for which the pools were computed
 * @param sent the prompt prefixes that this node sent to each server
 * @param limits the rates of requests that servers accept from all nodes together
 * @param slowdownServices the services of which a server has reported a slowdown to this node
 */
public record Fleet(
        Map<BackendId, BackendStatus> servers,
        Map<BackendId, Departure> departures,
        Map<Need, Pool> pools,
        Peers peers,
        SentPrefixes sent,
        Map<BackendId, ServerLimit> limits,
        Set<String> slowdownServices) {
    /** The fleet of a node that does not know any server yet. */
    public static final Fleet EMPTY = new Fleet(
            HashMap.empty(),
            HashMap.empty(),
            HashMap.empty(),
            Peers.NONE,
            SentPrefixes.EMPTY,
            HashMap.empty(),
            HashSet.empty());

    /** Maximum number of cached pools. They must be bounded because callers can name any model. */
    private static final int MAX_POOLS = 256;

    /**
     * Applies a new list of servers. A server that is known to leave is still treated as leaving if the list shows it
     * as live, for as long as its departure is in force.
     *
     * @param listed the servers
     * @param nowMs the time, in milliseconds
     * @param maxConcurrency returns the maximum concurrency allowed at a server
     * @return the updated fleet
     */
    public Fleet withListing(List<Backend> listed, long nowMs, ToIntFunction<Backend> maxConcurrency) {
        if (isUnchanged(listed, nowMs)) {
            return this;
        }
        Map<BackendId, BackendStatus> next = servers.filterValues(s -> s.inFlight() > 0 || nowMs < s.pausedUntilMs())
                .mapValues(BackendStatus::unlisted);
        Set<BackendId> ids = HashSet.ofAll(listed).map(Backend::id);
        Map<BackendId, Departure> leaving = departures.filter((id, d) -> d.isInForce(nowMs, ids.contains(id)));
        for (Backend backend : listed) {
            BackendStatus server = servers.get(backend.id())
                    .map(s -> s.listed(backend))
                    .getOrElse(() -> BackendStatus.initial(backend, maxConcurrency.applyAsInt(backend)));
            next = next.put(backend.id(), server);
            if (backend.leaving() && !leaving.containsKey(backend.id())) {
                leaving = leaving.put(backend.id(), Departure.assumed(nowMs));
            }
        }
        Map<BackendId, ServerLimit> current = limits.filterKeys(id -> ids.contains(id) || !servers.containsKey(id));
        return new Fleet(next, leaving, HashMap.empty(), peers, sent, current, slowdownServices);
    }

    /**
     * Applies a reclaim notice.
     *
     * @param id the server
     * @param nowMs the time, in milliseconds
     * @param noticeMs the time until the server is reclaimed, in milliseconds
     * @return the updated fleet; the same if the server already had a notice
     */
    public Fleet withReclaimNotice(BackendId id, long nowMs, long noticeMs) {
        if (departures.get(id).exists(Departure::noticed)) {
            return this;
        }
        return withDeparture(id, Departure.noticed(nowMs, noticeMs));
    }

    /**
     * Applies a server's report on its load and departure.
     *
     * @param id the server
     * @param report the report
     * @param nowMs the time, in milliseconds
     * @return the updated fleet
     */
    public Fleet withReport(BackendId id, BackendReport report, long nowMs) {
        Fleet next = report.load()
                .map(l -> update(id, s -> s.withLoad(ReportedLoad.of(l, s.inFlight(), nowMs)))
                        .withSlowdownOf(id, l))
                .orElse(this);
        if (!report.leaving()) {
            return next;
        }
        Departure departure = departures.getOrElse(id, Departure.assumed(nowMs));
        return next.withDeparture(id, departure.asAnnounced());
    }

    private Fleet withSlowdownOf(BackendId id, BackendReport.Load load) {
        Option<String> service = servers.get(id).map(s -> s.backend().service());
        if (load.slowdown().isEmpty() || service.isEmpty() || slowdownServices.contains(service.get())) {
            return this;
        }
        return new Fleet(servers, departures, pools, peers, sent, limits, slowdownServices.add(service.get()));
    }

    /**
     * Returns whether servers of a service report how long work takes at present.
     *
     * @param service the name of the service
     * @return whether a server of the service has ever reported a slowdown to this node
     */
    public boolean reportsSlowdown(String service) {
        return slowdownServices.contains(service);
    }

    /**
     * Updates the status of a server. A server that is neither listed nor in use is removed, unless it asked for a
     * pause: it may be listed again, and the pause must then still apply.
     *
     * @param id the server
     * @param change computes the new status
     * @return the updated fleet; the same if the server is unknown
     */
    public Fleet update(BackendId id, UnaryOperator<BackendStatus> change) {
        Option<BackendStatus> server = servers.get(id).map(change);
        if (server.isEmpty()) {
            return this;
        }
        boolean retained = server.get().listed()
                || server.get().inFlight() > 0
                || server.get().pausedUntilMs() > Long.MIN_VALUE;
        Map<BackendId, BackendStatus> next = retained ? servers.put(id, server.get()) : servers.remove(id);
        return new Fleet(next, departures, pools, peers, sent, limits, slowdownServices);
    }

    /**
     * Records that a prompt was sent to a server.
     *
     * @param prefixHashes hashes of the prompt's prefixes, shortest first
     * @param id the server
     * @return the updated fleet
     */
    public Fleet sent(List<Long> prefixHashes, BackendId id) {
        if (prefixHashes.isEmpty()) {
            return this;
        }
        return new Fleet(servers, departures, pools, peers, sent.withSent(prefixHashes, id), limits, slowdownServices);
    }

    /**
     * Ensures that there is a current pool of the servers that meet a need. A pool whose servers all leave is computed
     * again.
     *
     * @param need the need
     * @param self this node
     * @param others the other nodes
     * @return a fleet whose {@link #pools()} contains the need
     */
    public Fleet withPool(Need need, Identity self, Peers others) {
        boolean samePeers = others == peers || others.equals(peers);
        Map<Need, Pool> current = samePeers ? pools : HashMap.empty();
        if (current.get(need).exists(p -> !isEntirelyLeaving(p))) {
            return this;
        }
        Map<Need, Pool> retained = current.size() < MAX_POOLS ? current : HashMap.empty();
        Array<Backend> matching = servers.values()
                .filter(BackendStatus::listed)
                .map(BackendStatus::backend)
                .filter(need::isMetBy)
                .filter(b -> !departures.containsKey(b.id()))
                .toArray();
        Array<Backend> assigned = Array.empty();
        for (Array<Backend> sameVersion : matching.groupBy(Backend::version).values()) {
            assigned = assigned.appendAll(Subset.of(sameVersion, self.id(), others));
        }
        return new Fleet(
                servers, departures, retained.put(need, Pool.of(assigned)), others, sent, limits, slowdownServices);
    }

    /**
     * Returns the departure of a server.
     *
     * @param id the server
     * @return the departure; empty if the server is not known to leave
     */
    public Optional<Departure> departure(BackendId id) {
        return departures.get(id).toJavaOptional();
    }

    /**
     * Returns the servers of a need that this node may use.
     *
     * @param need the need
     * @return the status of each; empty if there is no pool of the need
     */
    public Array<BackendStatus> servers(Need need) {
        return pools.get(need).map(Pool::all).getOrElse(Array.empty()).flatMap(servers::get);
    }

    /**
     * Returns whether a server may be sent requests irrespective of its load: it is listed and does not leave, it is not
     * suspected, and it did not ask for a pause. A server whose trial is due is included, as only requests show that it
     * has recovered.
     *
     * @param server the server
     * @param nowMs the time, in milliseconds
     * @return whether it may be sent requests
     */
    public boolean mayBeSent(BackendStatus server, long nowMs) {
        return server.listed()
                && !departures.containsKey(server.backend().id())
                && !server.health().isSuspected(nowMs)
                && nowMs >= server.pausedUntilMs();
    }

    private boolean isEntirelyLeaving(Pool pool) {
        return !pool.all().isEmpty() && pool.all().forAll(departures::containsKey);
    }

    private boolean isUnchanged(List<Backend> listed, long nowMs) {
        return listed.size() == servers.count(s -> s._2.listed())
                && departures.forAll(
                        d -> d._2.isInForce(nowMs, servers.get(d._1).exists(BackendStatus::listed)))
                && listed.stream().allMatch(this::isUnchanged);
    }

    private boolean isUnchanged(Backend backend) {
        boolean sameEntry =
                servers.get(backend.id()).exists(s -> s.listed() && s.backend().equals(backend));
        return sameEntry && (!backend.leaving() || departures.containsKey(backend.id()));
    }

    /**
     * Applies a message from another node that a server leaves. The time of the departure is assumed.
     *
     * @param id the server
     * @param nowMs the monotonic time, in milliseconds
     * @return the updated fleet; the same if the departure was known
     */
    public Fleet withPeerDeparture(BackendId id, long nowMs) {
        return departures.containsKey(id) ? this : withDeparture(id, Departure.assumed(nowMs));
    }

    /**
     * Applies that a server named a limit, or that its limit ended.
     *
     * @param id the server
     * @param perSecond the requests per second that it accepts
     * @param active whether the limit is in force
     * @param atMs when the server's answer showed it, in milliseconds
     * @return the updated fleet
     */
    public Fleet withLimit(BackendId id, double perSecond, boolean active, long atMs) {
        ServerLimit limit = limits.get(id)
                .map(l -> l.changed(perSecond, active, atMs))
                .getOrElse(() -> ServerLimit.named(perSecond, atMs));
        return withLimits(limits.put(id, limit));
    }

    /**
     * Updates the limit of a server.
     *
     * @param id the server
     * @param change computes the new limit
     * @return the updated fleet; the same if no limit is known
     */
    public Fleet updateLimit(BackendId id, UnaryOperator<ServerLimit> change) {
        return limits.get(id)
                .map(change)
                .map(l -> withLimits(limits.put(id, l)))
                .getOrElse(this);
    }

    /**
     * Counts a request that is sent to a server against its limit.
     *
     * @param id the server
     * @param nowMs the time, in milliseconds
     * @return the updated fleet; the same if no limit is known
     */
    public Fleet withLimitedSend(BackendId id, long nowMs) {
        return updateLimit(id, l -> l.withSend(nowMs));
    }

    /**
     * Returns the limits of the servers that meet a need, if all of them have limits.
     *
     * @param need the need, of which there is a pool
     * @return the limits; empty if a server has none
     */
    public Array<ServerLimit> commonLimits(Need need) {
        Array<BackendId> usable = pools.get(need)
                .map(Pool::all)
                .getOrElse(Array.empty())
                .filter(id -> servers.get(id).exists(BackendStatus::listed) && !departures.containsKey(id));
        Array<ServerLimit> found = usable.flatMap(limits::get).filter(ServerLimit::active);
        return found.size() == usable.size() ? found : Array.empty();
    }

    /**
     * Returns the servers that meet a need and that requests may be sent to.
     *
     * @param need the need, of which there is a pool
     * @param nowMs the time, in milliseconds
     * @return the servers that are listed, do not leave and are not suspected
     */
    public Array<BackendStatus> liveServers(Need need, long nowMs) {
        return pools.get(need)
                .map(Pool::all)
                .getOrElse(Array.empty())
                .filter(id -> !departures.containsKey(id))
                .flatMap(servers::get)
                .filter(s -> s.listed() && !s.health().isSuspected(nowMs));
    }

    /**
     * Returns the number of listed servers that meet a need, including those that other nodes send requests to.
     *
     * @param need the need
     * @return the number of servers
     */
    public int countListed(Need need) {
        return servers.count(s -> s._2.listed() && need.isMetBy(s._2.backend()));
    }

    private Fleet withLimits(Map<BackendId, ServerLimit> next) {
        return new Fleet(servers, departures, pools, peers, sent, next, slowdownServices);
    }

    private Fleet withDeparture(BackendId id, Departure departure) {
        return new Fleet(servers, departures.put(id, departure), pools, peers, sent, limits, slowdownServices);
    }
}
