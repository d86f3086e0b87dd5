package org.fuchsiadeck.core.rollout;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * What was seen of the versions of a service during a rollout. Merging is by addition, so that the order does not
 * matter.
 *
 * @param cells the tallies by version, route and load
 */
public record Evidence(Map<Cell, Tally> cells) {
    /** Nothing seen. */
    public static final Evidence EMPTY = new Evidence(TreeMap.empty());

    /** Requests in progress below which the load band is low, then middle; the rest is high. */
    private static final int[] BAND_LIMITS = {4, 12};

    /** How many load bands there are. */
    static final int LOAD_BANDS = BAND_LIMITS.length + 1;

    /**
     * Where an attempt counts.
     *
     * @param version the version of the service
     * @param route the route
     * @param band the stage of the rollout and how loaded the backend server was: {@link #LOAD_BANDS} numbers for each stage
     */
    public record Cell(String version, String route, int band) implements Comparable<Cell> {
        /** Returns how loaded the backend server was, from 0. */
        int loadBand() {
            return band % LOAD_BANDS;
        }

        /** Returns the stage of the rollout. */
        RolloutStage stage() {
            return RolloutStage.values()[band / LOAD_BANDS];
        }

        /** Returns the same route and load with another version at another stage. */
        Cell withVersionAndStage(String other, RolloutStage stage) {
            return new Cell(other, route, stage.ordinal() * LOAD_BANDS + loadBand());
        }

        @Override
        public int compareTo(Cell other) {
            int order = version.compareTo(other.version);
            order = order != 0 ? order : route.compareTo(other.route);
            return order != 0 ? order : Integer.compare(band, other.band);
        }
    }

    /**
     * Returns the evidence with an attempt in the early stage added.
     *
     * @param seen the attempt
     * @return the new evidence
     */
    public Evidence withAttempt(AttemptObserved seen) {
        return withAttempt(seen, RolloutStage.EARLY);
    }

    /**
     * Returns the evidence with an attempt added.
     *
     * @param seen the attempt
     * @param stage the stage of the rollout; within a stage both versions' attempts are spread alike over time
     * @return the new evidence
     */
    public Evidence withAttempt(AttemptObserved seen, RolloutStage stage) {
        int band = stage.ordinal() * LOAD_BANDS + band(seen.load());
        Cell cell = new Cell(seen.backend().version(), seen.route(), band);
        return new Evidence(cells.put(cell, cells.getOrElse(cell, Tally.EMPTY).withAttempt(seen)));
    }

    /**
     * Returns the evidence with other evidence added.
     *
     * @param other the other evidence
     * @return the new evidence
     */
    public Evidence plus(Evidence other) {
        return new Evidence(cells.merge(other.cells, Tally::plus));
    }

    /**
     * Returns the tally of a version on all routes and loads.
     *
     * @param version the version
     * @return the sum
     */
    public Tally total(String version) {
        return cells.filterKeys(c -> c.version().equals(version)).values().fold(Tally.EMPTY, Tally::plus);
    }

    /**
     * Returns the tally of a version on a route, over all loads.
     *
     * @param version the version
     * @param route the route
     * @return the sum
     */
    public Tally onRoute(String version, String route) {
        return cells.filterKeys(c -> c.version().equals(version) && c.route().equals(route))
                .values()
                .fold(Tally.EMPTY, Tally::plus);
    }

    /**
     * Returns the part that was seen of a version.
     *
     * @param version the version
     * @return the part
     */
    public Evidence ofVersion(String version) {
        return new Evidence(cells.filterKeys(c -> c.version().equals(version)));
    }

    /**
     * Returns the routes on which a version was seen.
     *
     * @param version the version
     * @return the routes' names, sorted
     */
    public io.vavr.collection.SortedSet<String> routes(String version) {
        return cells.keySet()
                .filter(c -> c.version().equals(version))
                .map(Cell::route)
                .toSortedSet();
    }

    private static int band(int load) {
        int band = 0;
        while (band < BAND_LIMITS.length && load >= BAND_LIMITS[band]) {
            band++;
        }
        return band;
    }
}
