package org.fuchsiadeck.core.rollout;

import java.util.Optional;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;

/**
 * What is written down of all rollouts: the latest one of each service, and the condemned versions.
 *
 * @param rollouts the latest rollout of each service
 * @param condemned the condemned versions
 */
public record RolloutBook(Map<String, Rollout> rollouts, Map<ServiceVersion, Condemnation> condemned) {
    /** Nothing rolled out, nothing condemned. */
    public static final RolloutBook EMPTY = new RolloutBook(TreeMap.empty(), byName());

    private static Map<ServiceVersion, Condemnation> byName() {
        return TreeMap.empty((a, b) -> {
            int order = a.service().compareTo(b.service());
            return order != 0 ? order : a.version().compareTo(b.version());
        });
    }

    /**
     * Returns the book with a rollout in place of the service's earlier one.
     *
     * @param rollout the rollout
     * @return the new book
     */
    public RolloutBook with(Rollout rollout) {
        return new RolloutBook(rollouts.put(rollout.service(), rollout), condemned);
    }

    /**
     * Returns the book with a condemned version.
     *
     * @param found the condemnation
     * @return the new book
     */
    public RolloutBook with(Condemnation found) {
        return new RolloutBook(rollouts, condemned.put(found.version(), found, Condemnation::later));
    }

    /**
     * Returns the book with the condemned versions of another one added.
     *
     * @param others condemned versions
     * @return the new book
     */
    public RolloutBook withAll(Iterable<Condemnation> others) {
        RolloutBook book = this;
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
    public Optional<Condemnation> condemnation(ServiceVersion version) {
        return condemned.get(version).filter(c -> !passed(c)).toJavaOptional();
    }

    private boolean passed(Condemnation found) {
        return rollouts.get(found.version().service())
                .exists(r -> r.newVersion().equals(found.version().version()) && r.number() > found.number());
    }
}
