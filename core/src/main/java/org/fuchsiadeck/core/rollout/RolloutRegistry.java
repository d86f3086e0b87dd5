package org.fuchsiadeck.core.rollout;

import java.util.Optional;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * What is written down of all rollouts: the latest one of each service, the condemned versions, and the versions that
 * took over.
 *
 * @param rollouts the latest rollout of each service
 * @param condemned the condemned versions
 * @param takenOver the number of the latest earlier rollout in which a version took over; what was found in those
 *     before it no longer counts
 */
public record RolloutRegistry(
        Map<String, Rollout> rollouts,
        Map<ServiceVersion, Condemnation> condemned,
        Map<ServiceVersion, Long> takenOver) {
    /** Nothing rolled out, nothing condemned. */
    public static final RolloutRegistry EMPTY = new RolloutRegistry(TreeMap.empty(), byName(), byName());

    private static <T> Map<ServiceVersion, T> byName() {
        return TreeMap.empty((a, b) -> {
            int order = a.service().compareTo(b.service());
            return order != 0 ? order : a.version().compareTo(b.version());
        });
    }

    /**
     * Returns the book with a rollout in place of the service's earlier one. If the earlier one was done, its new version
     * has taken over.
     *
     * @param rollout the rollout
     * @return the new book
     */
    public RolloutRegistry with(Rollout rollout) {
        Option<Rollout> done = rollouts.get(rollout.service())
                .filter(r -> r.number() < rollout.number() && r.stage() == RolloutStage.DONE);
        RolloutRegistry book = done.isEmpty()
                ? this
                : withTakenOver(
                        new ServiceVersion(rollout.service(), done.get().newVersion()),
                        done.get().number());
        return new RolloutRegistry(book.rollouts.put(rollout.service(), rollout), condemned, book.takenOver);
    }

    /**
     * Returns the book with a version that took over.
     *
     * @param version the version
     * @param number the rollout in which it did
     * @return the new book
     */
    RolloutRegistry withTakenOver(ServiceVersion version, long number) {
        return new RolloutRegistry(rollouts, condemned, takenOver.put(version, number, Math::max));
    }

    /**
     * Returns the book with a condemned version.
     *
     * @param found the condemnation
     * @return the new book
     */
    public RolloutRegistry with(Condemnation found) {
        return new RolloutRegistry(rollouts, condemned.put(found.version(), found, Condemnation::merge), takenOver);
    }

    /**
     * Returns the book with the condemned versions of another one added.
     *
     * @param others condemned versions
     * @return the new book
     */
    public RolloutRegistry withCondemnations(Iterable<Condemnation> others) {
        RolloutRegistry book = this;
        for (Condemnation other : others) {
            book = book.with(other);
        }
        return book;
    }

    /**
     * Tells whether a version may take no new request.
     *
     * @param version the version
     * @return the condemnation in force
     */
    public Optional<Condemnation> activeCondemnation(ServiceVersion version) {
        return condemned.get(version).filter(c -> !passed(c)).toJavaOptional();
    }

    private boolean passed(Condemnation found) {
        if (takenOver.get(found.version()).exists(number -> number > found.number())) {
            return true;
        }
        return rollouts.get(found.version().service())
                .exists(r -> r.newVersion().equals(found.version().version()) && r.number() > found.number());
    }
}
