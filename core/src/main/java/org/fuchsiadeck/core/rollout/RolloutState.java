package org.fuchsiadeck.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * The rollouts that an entry node knows, their evidence, and the condemned versions.
 *
 * @param saved the registry as the platform's service has it, as far as known
 * @param revision the revision of the saved registry; 0 if it was never read
 * @param known whether the registry was read or received from another node
 * @param book the saved registry with the condemned versions that are not saved yet
 * @param own this node's evidence, by service
 * @param others evidence reported by the other nodes, by service and node
 * @param servers backend servers that are not leaving, by service and version
 * @param sync the calls to the platform's service
 * @param ticks number of ticks
 * @param orders rollouts that operators have asked for on the platform, by service
 * @param shares which versions may take traffic
 */
public record RolloutState(
        RolloutRegistry saved,
        long revision,
        boolean known,
        RolloutRegistry book,
        Map<String, Observations> own,
        Map<String, Map<NodeId, Observations>> others,
        java.util.Map<ServiceVersion, List<BackendId>> servers,
        PlatformCallState sync,
        long ticks,
        Map<String, RolloutOrder> orders,
        VersionShares shares) {
    /** In the early stage, one in this many backend servers of the new version gets requests, rounded up. */
    private static final int EARLY_DIVISOR = 3;

    /** Early share, in percent, of rollouts ordered on the platform; it keeps a bad version below a tenth of the requests. */
    private static final int ORDERED_EARLY_PERCENT = 9;

    /**
     * Returns the state of a node that has just started.
     *
     * @return the state
     */
    public static RolloutState initial() {
        return new RolloutState(
                RolloutRegistry.EMPTY,
                0,
                false,
                RolloutRegistry.EMPTY,
                TreeMap.empty(),
                TreeMap.empty(),
                java.util.Map.of(),
                PlatformCallState.IDLE,
                0,
                TreeMap.empty(),
                VersionShares.NONE);
    }

    RolloutState withSaved(RolloutRegistry registry, long newRevision) {
        RolloutRegistry merged = registry.withCondemnations(book.condemned().values());
        return with(registry, newRevision, merged).withoutStaleEvidence();
    }

    RolloutState withCondemnations(Iterable<Condemnation> condemnations) {
        return with(saved, revision, book.withCondemnations(condemnations));
    }

    RolloutState withOwn(String service, Observations observations) {
        return new RolloutState(
                saved,
                revision,
                known,
                book,
                own.put(service, observations),
                others,
                servers,
                sync,
                ticks,
                orders,
                shares);
    }

    RolloutState withOther(String service, NodeId node, Observations observations) {
        Map<NodeId, Observations> byNode =
                others.getOrElse(service, TreeMap.empty()).put(node, observations);
        return new RolloutState(
                saved, revision, known, book, own, others.put(service, byNode), servers, sync, ticks, orders, shares);
    }

    RolloutState withServers(List<Backend> listed) {
        java.util.Map<ServiceVersion, List<BackendId>> next = new HashMap<>();
        for (Backend b : listed) {
            if (!b.leaving()) {
                ServiceVersion v = new ServiceVersion(b.service(), b.version());
                next.computeIfAbsent(v, k -> new ArrayList<>()).add(b.id());
            }
        }
        return next.equals(servers)
                ? this
                : new RolloutState(saved, revision, known, book, own, others, next, sync, ticks, orders, shares)
                        .with(saved, revision, book);
    }

    RolloutState withSync(PlatformCallState next) {
        return new RolloutState(saved, revision, known, book, own, others, servers, next, ticks, orders, shares);
    }

    RolloutState withKnown() {
        return new RolloutState(saved, revision, true, book, own, others, servers, sync, ticks, orders, shares);
    }

    /**
     * Returns why the node must not serve callers yet.
     *
     * @return one sentence for each reason; empty if the node is ready
     */
    public List<String> unready() {
        return known ? List.of() : List.of("the rollouts and condemned versions are not known");
    }

    RolloutState withOrder(RolloutOrder order) {
        RolloutState next = new RolloutState(
                saved,
                revision,
                known,
                book,
                own,
                others,
                servers,
                sync,
                ticks,
                orders.put(order.service(), order),
                shares);
        return next.with(saved, revision, book);
    }

    RolloutState withTick() {
        return new RolloutState(saved, revision, known, book, own, others, servers, sync, ticks + 1, orders, shares);
    }

    /**
     * Returns whether a rollout is still to be judged and advanced.
     *
     * @param rollout the rollout
     * @return whether it has neither ended nor been condemned
     */
    boolean isOpen(Rollout rollout) {
        ServiceVersion newVersion = new ServiceVersion(rollout.service(), rollout.newVersion());
        return !rollout.stage().isTerminal()
                && book.activeCondemnation(newVersion).isEmpty();
    }

    private RolloutState with(RolloutRegistry nextSaved, long newRevision, RolloutRegistry nextRegistry) {
        return new RolloutState(
                nextSaved,
                newRevision,
                known,
                nextRegistry,
                own,
                others,
                servers,
                sync,
                ticks,
                orders,
                sharesOf(nextRegistry));
    }

    private RolloutState withoutStaleEvidence() {
        Map<String, Observations> currentOwn = own.filter((service, o) -> isCurrent(service, o));
        Map<String, Map<NodeId, Observations>> currentOthers = others.map(
                (service, byNode) -> io.vavr.Tuple.of(service, byNode.filterValues(o -> isCurrent(service, o))));
        return new RolloutState(
                saved, revision, known, book, currentOwn, currentOthers, servers, sync, ticks, orders, shares);
    }

    private boolean isCurrent(String service, Observations observations) {
        return book.rollouts().get(service).exists(r -> r.number() == observations.number());
    }

    private VersionShares sharesOf(RolloutRegistry registry) {
        java.util.Map<String, VersionShares.Split> splits = new HashMap<>();
        Set<ServiceVersion> condemnedVersions = new HashSet<>();
        registry.condemned()
                .keySet()
                .filter(v -> registry.activeCondemnation(v).isPresent())
                .forEach(condemnedVersions::add);
        orders.values().filter(o -> isOpen(registry, o)).forEach(o -> {
            String old = currentVersion(registry, o);
            if (!old.isEmpty()) {
                splits.put(o.service(), new VersionShares.Split(o.number(), old, o.target(), 0, Set.of()));
            }
        });
        for (Rollout r : registry.rollouts().values()) {
            if (splits.containsKey(r.service())) {
                continue;
            }
            boolean condemned = condemnedVersions.contains(new ServiceVersion(r.service(), r.newVersion()));
            double share = condemned ? 0 : r.newVersionShare();
            splits.put(
                    r.service(),
                    new VersionShares.Split(r.number(), r.oldVersion(), r.newVersion(), share, earlyBackends(r)));
        }
        return new VersionShares(splits, condemnedVersions);
    }

    /**
     * Creates the rollout for an order. Returns none if the registry has this or a later rollout of the service, or if no
     * version to replace is known.
     */
    Option<Rollout> createOrderedRollout(RolloutOrder order, View view) {
        String oldVersion = currentVersion(book, order);
        if (!isOpen(book, order) || oldVersion.isEmpty()) {
            return Option.none();
        }
        long now = view.agreedWallMs();
        return Option.some(new Rollout(
                order.service(),
                order.number(),
                oldVersion,
                order.target(),
                ORDERED_EARLY_PERCENT,
                now,
                now + order.durationMs(),
                Rollout.InsufficientEvidencePolicy.FINISH,
                RolloutStage.EARLY,
                List.of(new Rollout.Move(now, RolloutStage.EARLY, "ordered by the operators"))));
    }

    private static boolean isOpen(RolloutRegistry registry, RolloutOrder order) {
        return !registry.rollouts()
                .get(order.service())
                .exists(r -> r.number() >= order.number() || order.isOrderOf(r));
    }

    /**
     * Returns the version that an order replaces: the one that the last rollout left in service or, if there is none or it
     * is the target, the other version with the most backend servers. Empty if there is no such version.
     */
    private String currentVersion(RolloutRegistry registry, RolloutOrder order) {
        Option<Rollout> last = registry.rollouts().get(order.service());
        String inService = last.map(r -> r.stage() == RolloutStage.TAKEN_BACK ? r.oldVersion() : r.newVersion())
                .getOrElse("");
        if (!inService.isEmpty() && !inService.equals(order.target())) {
            return inService;
        }
        String largest = "";
        int largestSize = 0;
        for (java.util.Map.Entry<ServiceVersion, List<BackendId>> entry : servers.entrySet()) {
            ServiceVersion version = entry.getKey();
            boolean replaceable = version.service().equals(order.service())
                    && !version.version().equals(order.target());
            int size = entry.getValue().size();
            if (replaceable
                    && (size > largestSize
                            || size == largestSize && version.version().compareTo(largest) > 0)) {
                largest = version.version();
                largestSize = size;
            }
        }
        return largest;
    }

    private Set<BackendId> earlyBackends(Rollout r) {
        if (r.stage() != RolloutStage.EARLY) {
            return Set.of();
        }
        List<BackendId> all = servers.getOrDefault(new ServiceVersion(r.service(), r.newVersion()), List.of());
        int earlyCount = (all.size() + EARLY_DIVISOR - 1) / EARLY_DIVISOR;
        String key = r.service() + "/" + r.number();
        return Set.copyOf(Rendezvous.rank(key, all, BackendId::value).subList(0, earlyCount));
    }
}
