package org.fuchsiadeck.core.rollout;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.request.AttemptObserved;

/**
 * Outcomes and durations of the attempts at the versions of a service during a rollout. Evidence is merged by addition,
 * so the order of merges does not matter.
 *
 * @param cells the tallies by version, route, stage and load band
 */
public record Evidence(Map<Cell, Tally> cells) {
    /** Evidence without attempts. */
    public static final Evidence EMPTY = new Evidence(TreeMap.empty());

    /** Upper bounds, in requests in progress (exclusive), of the low and the middle load band; the rest is high. */
    private static final int[] BAND_LIMITS = {4, 12};

    /** Number of load bands. */
    static final int LOAD_BANDS = BAND_LIMITS.length + 1;

    /**
     * Key of a tally: version, route, rollout stage and load band.
     *
     * @param version the version of the service
     * @param route the route
     * @param band the stage of the rollout times {@link #LOAD_BANDS}, plus the load band
     */
    public record Cell(String version, String route, int band) implements Comparable<Cell> {
        /** Returns the load band of the backend server, from 0. */
        int loadBand() {
            return band % LOAD_BANDS;
        }

        /** Returns the stage of the rollout. */
        RolloutStage stage() {
            return RolloutStage.values()[band / LOAD_BANDS];
        }

        /** Returns the cell of the same route and load band for another version and stage. */
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
     * @param attempt the attempt
     * @return the new evidence
     */
    public Evidence withAttempt(AttemptObserved attempt) {
        return withAttempt(attempt, RolloutStage.EARLY);
    }

    /**
     * Returns the evidence with an attempt added.
     *
     * @param attempt the attempt
     * @param stage the stage of the rollout; within a stage both versions' attempts are spread alike over time
     * @return the new evidence
     */
    public Evidence withAttempt(AttemptObserved attempt, RolloutStage stage) {
        int band = stage.ordinal() * LOAD_BANDS + band(attempt.inFlightAtDispatch());
        Cell cell = new Cell(attempt.backend().version(), attempt.route(), band);
        return new Evidence(cells.put(cell, cells.getOrElse(cell, Tally.EMPTY).withAttempt(attempt)));
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
     * Returns the evidence of one version.
     *
     * @param version the version
     * @return the evidence of that version alone
     */
    public Evidence ofVersion(String version) {
        return new Evidence(cells.filterKeys(c -> c.version().equals(version)));
    }

    /**
     * Returns the routes on which a version has attempts.
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
