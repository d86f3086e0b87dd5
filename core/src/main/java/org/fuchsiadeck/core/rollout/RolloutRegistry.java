package org.fuchsiadeck.core.rollout;

import java.util.Optional;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * The latest rollout of each service, the condemned versions, and the versions that completed an earlier rollout.
 *
 * @param rollouts the latest rollout of each service
 * @param condemned the condemned versions
 * @param takenOver for each version that took over in an earlier rollout, the number of the latest such rollout;
 *     condemnations of rollouts with lower numbers no longer apply
 */
public record RolloutRegistry(
        Map<String, Rollout> rollouts,
        Map<ServiceVersion, Condemnation> condemned,
        Map<ServiceVersion, Long> takenOver) {
    /** A registry without rollouts and condemned versions. */
    public static final RolloutRegistry EMPTY = new RolloutRegistry(TreeMap.empty(), mapByVersion(), mapByVersion());

    private static <T> Map<ServiceVersion, T> mapByVersion() {
        return TreeMap.empty((a, b) -> {
            int order = a.service().compareTo(b.service());
            return order != 0 ? order : a.version().compareTo(b.version());
        });
    }

    /**
     * Returns the registry with a rollout in place of the service's earlier one. If the earlier one is done, its new
     * version is recorded as having taken over.
     *
     * @param rollout the rollout
     * @return the new registry
     */
    public RolloutRegistry with(Rollout rollout) {
        Option<Rollout> done = rollouts.get(rollout.service())
                .filter(r -> r.number() < rollout.number() && r.stage() == RolloutStage.DONE);
        RolloutRegistry registry = done.isEmpty()
                ? this
                : withTakenOver(
                        new ServiceVersion(rollout.service(), done.get().newVersion()),
                        done.get().number());
        return new RolloutRegistry(registry.rollouts.put(rollout.service(), rollout), condemned, registry.takenOver);
    }

    /**
     * Returns the registry with a version that took over.
     *
     * @param version the version
     * @param number the rollout in which it did
     * @return the new registry
     */
    RolloutRegistry withTakenOver(ServiceVersion version, long number) {
        return new RolloutRegistry(rollouts, condemned, takenOver.put(version, number, Math::max));
    }

    /**
     * Returns the registry with a condemned version.
     *
     * @param condemnation the condemnation, merged with one that exists
     * @return the new registry
     */
    public RolloutRegistry with(Condemnation condemnation) {
        return new RolloutRegistry(
                rollouts, condemned.put(condemnation.version(), condemnation, Condemnation::merge), takenOver);
    }

    /**
     * Returns the registry with the condemned versions of another one added.
     *
     * @param others condemned versions
     * @return the new registry
     */
    public RolloutRegistry withCondemnations(Iterable<Condemnation> others) {
        RolloutRegistry registry = this;
        for (Condemnation other : others) {
            registry = registry.with(other);
        }
        return registry;
    }

    /**
     * Returns the condemnation that bars a version from new requests.
     *
     * @param version the version
     * @return the condemnation in force, or empty if there is none or a later rollout superseded it
     */
    public Optional<Condemnation> activeCondemnation(ServiceVersion version) {
        return condemned.get(version).filter(c -> !isSuperseded(c)).toJavaOptional();
    }

    private boolean isSuperseded(Condemnation condemnation) {
        if (takenOver.get(condemnation.version()).exists(number -> number > condemnation.number())) {
            return true;
        }
        return rollouts.get(condemnation.version().service())
                .exists(r ->
                        r.newVersion().equals(condemnation.version().version()) && r.number() > condemnation.number());
    }
}
