package org.fuchsiadeck.core.routing;

import java.util.Optional;
import java.util.function.ToDoubleFunction;

import io.vavr.Tuple2;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.Zone;

import static java.util.Objects.requireNonNull;

/**
 * Decides which fraction of a node's requests leaves its availability zone, and for which zones (cross-zone spillover).
 *
 * <p>Intended for fleets of several zones in which demand moves between zones or a zone loses servers for seconds, while
 * traffic between zones is slower and priced by the byte. All nodes read sums that are 0.5 to 2 s old. If each sent its
 * next request to the zone with the shortest wait, all would send to the same zone until the next report. Therefore each
 * node computes the fraction that equalizes the predicted waits, and draws for each request whether it is part of it.
 *
 * @param own the zone of this node
 * @param loads the load of each zone at the last update
 * @param fractions the fraction of requests to send to each other zone, without zones that get none
 * @param visible the fractions as far as the sums of all nodes show their effect
 * @param informed whether the loads cover the other nodes
 * @param typical the mean of the requests
 * @param atMs the time of the last update, in milliseconds
 */
public record ZoneSpill(
        Zone own,
        SortedMap<Zone, ZoneLoad> loads,
        SortedMap<Zone, Double> fractions,
        SortedMap<Zone, Double> visible,
        boolean informed,
        Traits typical,
        long atMs) {
    /** The least time between two updates, in milliseconds. An update reads the sums of all servers of a pool. */
    private static final long UPDATE_MS = 100;

    /** Network round trip to another zone, in milliseconds: the order of magnitude within a region. */
    private static final double ROUND_TRIP_MS = 2;

    /**
     * Price of a kilobyte sent to another zone, as server time in milliseconds. A request with its answer, 2 to 20 kB,
     * then costs less than reading a shared prefix again, which takes 50 ms or more.
     */
    private static final double MS_PER_KB = 1;

    private static final double BYTES_PER_KB = 1_000;

    /** Bytes of an answer per generated token; an order of magnitude. */
    private static final double ANSWER_BYTES_PER_TOKEN = 20;

    /** Cost of a zone whose load is unknown, in milliseconds: more than any wait, so that it is used only alone. */
    private static final double UNKNOWN_MS = 1e6;

    /** Time within which the fractions approach their targets, in milliseconds: the age of a fresh sum. */
    private static final double APPROACH_MS = 500;

    /** Time until a change of the fractions shows in the sums of all nodes, in milliseconds, without the requests' own. */
    private static final double REPORT_LAG_MS = 1_000;

    /** Longest time assumed for requests to leave the sums, in milliseconds, as the lag delays the decisions. */
    private static final double MAX_REQUEST_LAG_MS = 4_000;

    /** Fraction from which spillover starts. */
    private static final double START_FRACTION = 0.05;

    /** Fraction below which spillover ends; lower than the one at which it starts, so that it does not flap. */
    private static final double END_FRACTION = 0.01;

    /**
     * Difference between the waits of two zones, beyond the cost of the transfer, from which spillover starts, in times
     * of one request at one server. Below it, zones at equal load differ by chance.
     */
    private static final double START_REQUESTS = 1;

    /** The same as a time, in milliseconds, for requests that take less. */
    private static final double MIN_START_GAIN_MS = 20;

    /** Greatest fraction whose effect is taken out of the sums. Beyond it, the quotient is too uncertain. */
    private static final double MAX_VISIBLE = 0.9;

    /** Gain of the means of the requests per update. */
    private static final double TRAITS_GAIN = 0.1;

    /** Steps of the search for the level of the waits; they narrow it to a millionth of the range. */
    private static final int LEVEL_STEPS = 20;

    /** Position of the draw that decides the zone, behind those that the routers use. */
    private static final long DRAW = 1_000;

    public ZoneSpill {
        requireNonNull(own, "own");
        requireNonNull(loads, "loads");
        requireNonNull(fractions, "fractions");
        requireNonNull(visible, "visible");
        requireNonNull(typical, "typical");
    }

    /**
     * The properties of a request, or their means over several, that decide whether it leaves its zone.
     *
     * @param transferMs the cost of sending it to another zone, in milliseconds
     * @param promptTokens the length of its prompt, in tokens; 0 if it has none
     */
    public record Traits(double transferMs, double promptTokens) {
        /**
         * Estimates the properties of a request.
         *
         * @param bodyBytes the length of its body, in bytes
         * @param promptTokens the length of its prompt, in tokens
         * @param maxTokens the greatest number of tokens of its answer
         * @return the round trip and the price of the bytes, and the prompt
         */
        public static Traits of(long bodyBytes, int promptTokens, int maxTokens) {
            double bytes = bodyBytes + maxTokens * ANSWER_BYTES_PER_TOKEN;
            return new Traits(ROUND_TRIP_MS + bytes / BYTES_PER_KB * MS_PER_KB, promptTokens);
        }

        Traits toward(Traits next, double gain) {
            return new Traits(
                    transferMs + gain * (next.transferMs - transferMs),
                    promptTokens + gain * (next.promptTokens - promptTokens));
        }
    }

    /**
     * Returns the state of a node that has made no decision yet.
     *
     * @param own the zone of the node
     * @return the state
     */
    public static ZoneSpill initial(Zone own) {
        return new ZoneSpill(
                own,
                TreeMap.empty(),
                TreeMap.empty(),
                TreeMap.empty(),
                false,
                new Traits(ROUND_TRIP_MS, 0),
                Long.MIN_VALUE / 2);
    }

    /**
     * Returns whether the fractions are to be computed again.
     *
     * @param nowMs the time, in milliseconds
     * @return whether the last update is old enough
     */
    public boolean isDue(long nowMs) {
        return nowMs - atMs >= UPDATE_MS;
    }

    /**
     * Returns the fraction of requests that leaves the zone.
     *
     * @return the fraction, from 0 to 1
     */
    public double fraction() {
        return fractions.values().sum().doubleValue();
    }

    /**
     * Returns whether part of the requests leaves the zone although the zone has usable servers.
     *
     * @return whether spillover is in progress
     */
    public boolean isActive() {
        return !fractions.isEmpty();
    }

    /**
     * Returns the predicted wait of each zone that has usable servers.
     *
     * @return the waits, in milliseconds
     */
    public SortedMap<Zone, Double> waitsMs() {
        return loads.filterValues(ZoneLoad::isUsable).mapValues(ZoneLoad::waitMs);
    }

    /**
     * Computes the fractions from new loads.
     *
     * @param nowMs the time, in milliseconds
     * @param current the load of each zone
     * @param covered whether the loads cover the other nodes
     * @param request the properties of the present request
     * @return the next state
     */
    public ZoneSpill update(long nowMs, SortedMap<Zone, ZoneLoad> current, boolean covered, Traits request) {
        Traits mean = typical.promptTokens() == 0 ? request : typical.toward(request, TRAITS_GAIN);
        ZoneLoad local = current.getOrElse(own, ZoneLoad.empty(own));
        if (!covered || !local.isUsable()) {
            return new ZoneSpill(own, current, TreeMap.empty(), TreeMap.empty(), covered, mean, nowMs);
        }
        double elapsedMs = nowMs - atMs;
        double lagMs = REPORT_LAG_MS + Math.min(MAX_REQUEST_LAG_MS, local.slotMs());
        SortedMap<Zone, Double> seen = approach(visible, fractions, elapsedMs / lagMs);
        Balance balance = new Balance(local, current.remove(own), seen, mean);
        SortedMap<Zone, Double> targets = balance.fractions();
        double target = targets.values().sum().doubleValue();
        boolean starts = target >= START_FRACTION && balance.gainMs() >= startGainMs(local, mean);
        SortedMap<Zone, Double> next = isActive() || starts
                ? approach(fractions, targets, elapsedMs / APPROACH_MS)
                : TreeMap.<Zone, Double>empty();
        next = next.filter((z, f) -> current.get(z).exists(ZoneLoad::isUsable));
        boolean ends = target < END_FRACTION && next.values().sum().doubleValue() < END_FRACTION;
        return new ZoneSpill(own, current, ends ? TreeMap.empty() : next, seen, true, mean, nowMs);
    }

    private static double startGainMs(ZoneLoad local, Traits mean) {
        return Math.max(MIN_START_GAIN_MS, START_REQUESTS * local.requestMs(mean.promptTokens()));
    }

    /** Moves values toward targets, by the fraction that a first-order lag passes in a time of {@code lags} lags. */
    private static SortedMap<Zone, Double> approach(
            SortedMap<Zone, Double> from, SortedMap<Zone, Double> to, double lags) {
        double step = 1 - Math.exp(-Math.max(0, lags));
        SortedMap<Zone, Double> next = TreeMap.empty();
        for (Zone zone : from.keySet().addAll(to.keySet())) {
            double old = from.getOrElse(zone, 0.0);
            next = next.put(zone, old + (to.getOrElse(zone, 0.0) - old) * step);
        }
        return next;
    }

    /**
     * Draws the zone whose servers a request is to use. Without a usable server in this node's zone, it is one of the
     * others, by their free capacity.
     *
     * @param seed the random bits of the request
     * @return the zone; empty if no zone with usable servers is known
     */
    public Optional<Zone> pick(long seed) {
        double draw = SplitMix.toFraction(SplitMix.draw(seed, DRAW));
        SortedMap<Zone, Double> parts = fractions;
        if (!loads.get(own).exists(ZoneLoad::isUsable)) {
            parts = informed ? freeParts() : TreeMap.empty();
            if (parts.isEmpty()) {
                return Optional.empty();
            }
        }
        Zone last = own;
        for (Tuple2<Zone, Double> part : parts) {
            draw -= part._2;
            if (draw < 0) {
                return Optional.of(part._1);
            }
            last = part._1;
        }
        return Optional.of(parts == fractions ? own : last);
    }

    /** Returns the parts of zones in the slots that are free, or in all slots if none is free. */
    private SortedMap<Zone, Double> freeParts() {
        SortedMap<Zone, ZoneLoad> usable = loads.filterValues(ZoneLoad::isUsable);
        SortedMap<Zone, Double> free = usable.mapValues(l -> Math.max(0, l.slots() - l.attempts()));
        double sum = free.values().sum().doubleValue();
        if (sum > 0) {
            return free.mapValues(f -> f / sum);
        }
        double all = usable.values().map(ZoneLoad::slots).sum().doubleValue();
        return usable.mapValues(l -> l.slots() / all);
    }

    /**
     * Returns the estimates for one request: servers of the zone that was drawn for it cost nothing, those of others the
     * transfer, those of zones of unknown load much more.
     *
     * @param base the estimates of speeds
     * @param seed the random bits of the request
     * @param requestMs the cost of sending the request to another zone, in milliseconds
     * @return the estimates
     */
    public ServerEstimates estimates(ServerEstimates base, long seed, double requestMs) {
        Optional<Zone> picked = pick(seed);
        Zone preferred = picked.orElse(own);
        ToDoubleFunction<Backend> cost = b -> {
            if (b.zone().equals(preferred)) {
                return 0;
            }
            boolean known =
                    b.zone().equals(own) || informed && loads.get(b.zone()).exists(ZoneLoad::isUsable);
            return known ? requestMs : UNKNOWN_MS;
        };
        return base.withZones(
                cost, picked.flatMap(z -> loads.get(z).toJavaOptional()).map(ZoneLoad::servers));
    }

    /** The distribution of requests that equalizes the predicted waits. */
    private static final class Balance {
        private final ZoneLoad local;
        private final SortedMap<Zone, ZoneLoad> others;
        private final Traits typical;
        private final double attemptTokensPerMs;
        /** The attempts of this zone's requests, including those that other zones took. */
        private final double demand;
        /** The attempts of this zone's requests that other zones took, by zone. */
        private final SortedMap<Zone, Double> away;

        Balance(ZoneLoad local, SortedMap<Zone, ZoneLoad> others, SortedMap<Zone, Double> visible, Traits typical) {
            this.local = local;
            this.others = others.filterValues(ZoneLoad::isUsable);
            this.typical = typical;
            this.attemptTokensPerMs =
                    local.attempts() > 0 ? local.arrivingTokensPerMs(typical.promptTokens()) / local.attempts() : 0;
            double left = Math.min(MAX_VISIBLE, visible.values().sum().doubleValue());
            this.demand = local.attempts() / (1 - left);
            this.away = visible.mapValues(f -> f * demand);
        }

        /** Returns by how much a request waits less in the best other zone, after the transfer, in milliseconds. */
        double gainMs() {
            return others.values()
                    .map(l -> local.waitMs() - l.waitMs() - typical.transferMs())
                    .max()
                    .getOrElse(0.0);
        }

        SortedMap<Zone, Double> fractions() {
            if (demand <= 0 || others.isEmpty()) {
                return TreeMap.empty();
            }
            double levelMs = levelMs();
            SortedMap<Zone, Double> moved = others.mapValues(l -> moved(l, levelMs));
            double absorbed = moved.values().map(m -> Math.max(0, m)).sum().doubleValue();
            double returned = moved.values().map(m -> Math.max(0, -m)).sum().doubleValue();
            double toPlace = returned - headroom(local, levelMs);
            double part = absorbed > 0 ? Math.max(0, Math.min(1, toPlace / absorbed)) : 0;
            double kept = away.values().sum().doubleValue() - returned;
            double keptPart = toPlace < 0 && kept > 0 ? Math.max(0, 1 + toPlace / kept) : 1;
            SortedMap<Zone, Double> next = TreeMap.empty();
            double sum = 0;
            for (Tuple2<Zone, Double> other : moved) {
                double before = away.getOrElse(other._1, 0.0);
                double there = (before + Math.min(0, other._2)) * keptPart + Math.max(0, other._2) * part;
                double fraction = Math.max(0, Math.min(1 - sum, there / demand));
                sum += fraction;
                next = fraction > 0 ? next.put(other._1, fraction) : next;
            }
            return next;
        }

        /** Returns the attempts that another zone takes more, or gives back of those that it took. */
        private double moved(ZoneLoad other, double levelMs) {
            return Math.max(headroom(other, levelMs - typical.transferMs()), -away.getOrElse(other.zone(), 0.0));
        }

        private double headroom(ZoneLoad load, double levelMs) {
            return load.headroom(levelMs, typical.promptTokens(), attemptTokensPerMs);
        }

        /** Returns the wait at which the zones together take as many attempts as leave zones, in milliseconds. */
        private double levelMs() {
            double low = 0;
            double high = typical.transferMs()
                    + others.values()
                            .map(ZoneLoad::waitMs)
                            .append(local.waitMs())
                            .max()
                            .get();
            for (int i = 0; i < LEVEL_STEPS; i++) {
                double middle = (low + high) / 2;
                if (balance(middle) > 0) {
                    high = middle;
                } else {
                    low = middle;
                }
            }
            return high;
        }

        /**
         * Returns how many attempts more the zones take than leave zones at a wait; it grows with the wait. Zones that
         * are short themselves send to the same servers, so that their excess counts.
         */
        private double balance(double levelMs) {
            double sum = headroom(local, levelMs);
            for (ZoneLoad other : others.values()) {
                double moved = moved(other, levelMs);
                sum += moved > 0 ? moved : Math.min(moved, headroom(other, levelMs));
            }
            return sum;
        }
    }
}
