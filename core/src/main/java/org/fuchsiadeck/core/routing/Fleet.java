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
 * What a node knows of the backend servers.
 *
 * @param servers the servers that are listed, have attempts in progress or asked for a pause
 * @param departures the servers that leave, also those not listed
 * @param pools which servers meet a need, kept until the list or the peers change
 * @param peers the other nodes at the time the pools were made
 * @param sent which prompt prefixes were sent where
 */
public record Fleet(
        Map<BackendId, BackendStatus> servers,
        Map<BackendId, Departure> departures,
        Map<Need, Pool> pools,
        Peers peers,
        SentPrefixes sent) {
    /** No server is known. */
    public static final Fleet EMPTY =
            new Fleet(HashMap.empty(), HashMap.empty(), HashMap.empty(), Peers.NONE, SentPrefixes.EMPTY);

    /** Callers name models freely, so the pools have to be bounded. */
    private static final int MAX_POOLS = 256;

    /**
     * Takes a new list of servers. A server known to leave keeps leaving, though the list calls it live.
     *
     * @param listed the servers
     * @param nowMs the time, in milliseconds
     * @param max gives the greatest concurrency allowed at a server
     * @return the next fleet
     */
    public Fleet withListing(List<Backend> listed, long nowMs, ToIntFunction<Backend> max) {
        if (unchanged(listed, nowMs)) {
            return this;
        }
        Map<BackendId, BackendStatus> next = servers.filterValues(s -> s.inFlight() > 0 || nowMs < s.pausedUntilMs())
                .mapValues(BackendStatus::unlisted);
        Set<BackendId> ids = HashSet.ofAll(listed).map(Backend::id);
        Map<BackendId, Departure> leaving = departures.filter((id, d) -> d.isInForce(nowMs, ids.contains(id)));
        for (Backend backend : listed) {
            BackendStatus server = servers.get(backend.id())
                    .map(s -> s.listed(backend))
                    .getOrElse(() -> BackendStatus.initial(backend, max.applyAsInt(backend)));
            next = next.put(backend.id(), server);
            if (backend.leaving() && !leaving.containsKey(backend.id())) {
                leaving = leaving.put(backend.id(), Departure.assumed(nowMs));
            }
        }
        return new Fleet(next, leaving, HashMap.empty(), peers, sent);
    }

    /**
     * Takes a reclaim notice.
     *
     * @param id the server
     * @param nowMs the time, in milliseconds
     * @param noticeMs the time left, in milliseconds
     * @return the next fleet; the same if the server had a notice
     */
    public Fleet withReclaimNotice(BackendId id, long nowMs, long noticeMs) {
        if (departures.get(id).exists(Departure::noticed)) {
            return this;
        }
        return departing(id, Departure.noticed(nowMs, noticeMs));
    }

    /**
     * Takes a server's report of itself.
     *
     * @param id the server
     * @param report the report
     * @param nowMs the time, in milliseconds
     * @return the next fleet
     */
    public Fleet withReport(BackendId id, BackendReport report, long nowMs) {
        Fleet next = report.load()
                .map(l -> update(id, s -> s.withLoad(ReportedLoad.of(l, s.inFlight(), nowMs))))
                .orElse(this);
        if (!report.leaving()) {
            return next;
        }
        Departure departure = departures.getOrElse(id, Departure.assumed(nowMs));
        return next.departing(id, departure.asAnnounced());
    }

    /**
     * Changes what is known of a server. A server that is neither listed nor in use is forgotten, but for one that asked
     * for a pause: its entry may come back.
     *
     * @param id the server
     * @param change gives what is known next
     * @return the next fleet; the same if the server is not known
     */
    public Fleet update(BackendId id, UnaryOperator<BackendStatus> change) {
        Option<BackendStatus> server = servers.get(id).map(change);
        if (server.isEmpty()) {
            return this;
        }
        boolean kept = server.get().listed()
                || server.get().inFlight() > 0
                || server.get().pausedUntilMs() > Long.MIN_VALUE;
        Map<BackendId, BackendStatus> next = kept ? servers.put(id, server.get()) : servers.remove(id);
        return new Fleet(next, departures, pools, peers, sent);
    }

    /**
     * Takes into account that a prompt was sent to a server.
     *
     * @param prefix hashes of the prompt's prefixes, the shortest first
     * @param id the server
     * @return the next fleet
     */
    public Fleet sent(List<Long> prefix, BackendId id) {
        if (prefix.isEmpty()) {
            return this;
        }
        return new Fleet(servers, departures, pools, peers, sent.withSent(prefix, id));
    }

    /**
     * Prepares the servers that meet a need.
     *
     * @param need the need
     * @param self this node
     * @param others the other nodes
     * @return a fleet whose {@link #pools()} has the need
     */
    public Fleet withPool(Need need, Identity self, Peers others) {
        boolean current = others == peers || others.equals(peers);
        Map<Need, Pool> kept = current ? pools : HashMap.empty();
        if (kept.get(need).exists(p -> !allLeaving(p))) {
            return this;
        }
        Map<Need, Pool> room = kept.size() < MAX_POOLS ? kept : HashMap.empty();
        Array<Backend> able = servers.values()
                .filter(BackendStatus::listed)
                .map(BackendStatus::backend)
                .filter(need::isMetBy)
                .filter(b -> !departures.containsKey(b.id()))
                .toArray();
        Array<Backend> part = Array.empty();
        for (Array<Backend> version : able.groupBy(Backend::version).values()) {
            part = part.appendAll(Subset.of(version, self.id(), others));
        }
        return new Fleet(servers, departures, room.put(need, Pool.of(part)), others, sent);
    }

    /**
     * Returns when a server is gone.
     *
     * @param id the server
     * @return its departure, if it leaves
     */
    public Optional<Departure> departure(BackendId id) {
        return departures.get(id).toJavaOptional();
    }

    private boolean allLeaving(Pool pool) {
        return !pool.all().isEmpty() && pool.all().forAll(departures::containsKey);
    }

    private boolean unchanged(List<Backend> listed, long nowMs) {
        return listed.size() == servers.count(s -> s._2.listed())
                && departures.forAll(
                        d -> d._2.isInForce(nowMs, servers.get(d._1).exists(BackendStatus::listed)))
                && listed.stream().allMatch(this::known);
    }

    private boolean known(Backend backend) {
        boolean same =
                servers.get(backend.id()).exists(s -> s.listed() && s.backend().equals(backend));
        return same && (!backend.leaving() || departures.containsKey(backend.id()));
    }

    /**
     * Takes another node's word that a server leaves.
     *
     * @param id the server
     * @param nowMs the monotonic time, in milliseconds
     * @return the fleet with its departure
     */
    public Fleet withPeerDeparture(BackendId id, long nowMs) {
        return departures.containsKey(id) ? this : departing(id, Departure.assumed(nowMs));
    }

    private Fleet departing(BackendId id, Departure departure) {
        return new Fleet(servers, departures.put(id, departure), pools, peers, sent);
    }
}
