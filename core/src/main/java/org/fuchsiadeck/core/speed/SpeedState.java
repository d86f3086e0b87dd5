package org.fuchsiadeck.core.speed;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.ServerEstimates;

import static java.util.Objects.requireNonNull;

/**
 * What an entry node knows of the speed of backend servers. It addresses deployments in which some servers run at about
 * half the speed of others for their whole lifetime, and in which other work on a server's machine slows it down for
 * some hundred milliseconds at a time.
 *
 * <p>Observed times are divided by the slowdown that the server reported with the answer. The learned speed is that of
 * a server without reported slowdown, and a server whose reports are always too high or too low is learned to be faster
 * or slower than its reports say.
 *
 * @param fits the fit of the time to first byte, by service
 * @param times this node's sums of observed and expected times, by server
 * @param slowdowns the last reported slowdown, by server
 * @param learned the learned speed, by server; servers without observations are left out
 * @param refreshedMs when the learned speeds were last computed, in milliseconds, by service
 */
public record SpeedState(
        Map<String, TimeFit> fits,
        Map<BackendId, DecayingTimes> times,
        Map<BackendId, ReportedSlowdown> slowdowns,
        Map<BackendId, LearnedSpeed> learned,
        Map<String, Long> refreshedMs) {
    /** The state of a node that has just started: all servers have the usual speed. */
    public static final SpeedState NONE =
            new SpeedState(HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty());

    /** Time between computations of the learned speeds, in milliseconds. */
    private static final long REFRESH_MS = 2_000;

    /**
     * Fraction of its slots that may be in use for a server to count as nearly idle; one request always may. Streams hold
     * slots for seconds, and a server that is used at all would seldom have fewer.
     */
    private static final double IDLE_FRACTION = 0.25;

    /** Prompt tokens that a nearly idle server may have to process first: some 10 ms of its time. */
    private static final int IDLE_UNREAD_TOKENS = 500;

    /** Mean time to first byte that is assumed by a node without own observations, in milliseconds. */
    private static final double UNKNOWN_MEAN_MS = 100;

    /** Sums below this expected time are dropped, in milliseconds: they are without effect on the speed. */
    private static final double MIN_SUM_MS = 10;

    public SpeedState {
        requireNonNull(fits, "fits");
        requireNonNull(times, "times");
        requireNonNull(slowdowns, "slowdowns");
        requireNonNull(learned, "learned");
        requireNonNull(refreshedMs, "refreshedMs");
    }

    /**
     * Sums that decay with time.
     *
     * @param sums the sums
     * @param atMs the time to which they are decayed, in milliseconds
     */
    public record DecayingTimes(ServerTimes sums, long atMs) {
        static final DecayingTimes NONE = new DecayingTimes(ServerTimes.NONE, 0);

        ServerTimes at(long nowMs) {
            return sums.scaled(Decay.factor(nowMs - atMs));
        }
    }

    /**
     * Returns whether a server counts as nearly idle, so that the time of an attempt there shows the server's speed.
     *
     * @param backend the server
     * @param otherAttempts the attempts of all nodes at the server besides the one to be observed
     * @param unreadAhead the prompt tokens of those attempts that the server has to process first
     * @return whether it is nearly idle
     */
    public static boolean isNearlyIdle(Backend backend, int otherAttempts, int unreadAhead) {
        return otherAttempts <= Math.max(1, (int) (IDLE_FRACTION * backend.slots()))
                && unreadAhead <= IDLE_UNREAD_TOKENS;
    }

    /**
     * Applies a server's report. A report without a slowdown changes nothing.
     *
     * @param id the server
     * @param load the reported load
     * @param nowMs the time, in milliseconds
     * @return the updated state
     */
    public SpeedState withReport(BackendId id, BackendReport.Load load, long nowMs) {
        if (load.slowdown().isEmpty()) {
            return this;
        }
        return new SpeedState(fits, times, slowdowns.put(id, ReportedSlowdown.of(load, nowMs)), learned, refreshedMs);
    }

    /**
     * Adds an attempt that found its server nearly idle and was answered.
     *
     * @param backend the server
     * @param unread the prompt tokens that the server had to process
     * @param tookMs the time to first byte, in milliseconds
     * @param nowMs the time, in milliseconds
     * @return the updated state
     */
    public SpeedState withObservation(Backend backend, int unread, double tookMs, long nowMs) {
        TimeFit fit = fits.getOrElse(backend.service(), TimeFit.NONE);
        double usualMs = tookMs / slowdown(backend.id(), nowMs);
        Map<BackendId, DecayingTimes> nextTimes = times;
        if (fit.isKnown()) {
            ServerTimes one = new ServerTimes(fit.bounded(unread, usualMs), fit.expectedMs(unread));
            ServerTimes sums =
                    times.getOrElse(backend.id(), DecayingTimes.NONE).at(nowMs).plus(one);
            nextTimes = times.put(backend.id(), new DecayingTimes(sums, nowMs));
        }
        return new SpeedState(
                fits.put(backend.service(), fit.with(unread, usualMs, nowMs)),
                nextTimes,
                slowdowns,
                learned,
                refreshedMs);
    }

    /**
     * Computes the learned speeds of a service's servers again if it was not done recently, and forgets servers that are
     * not known any more.
     *
     * @param service the name of the service
     * @param servers the known servers
     * @param elsewhere returns the sums of the other nodes
     * @param nowMs the time, in milliseconds
     * @return the updated state
     */
    public SpeedState refreshed(
            String service,
            Map<BackendId, BackendStatus> servers,
            Function<BackendId, ServerTimes> elsewhere,
            long nowMs) {
        if (refreshedMs.get(service).exists(at -> nowMs - at < REFRESH_MS)) {
            return this;
        }
        double meanMs = fits.getOrElse(service, TimeFit.NONE).meanMs(UNKNOWN_MEAN_MS);
        Map<BackendId, LearnedSpeed> next = learned.filterKeys(servers::containsKey);
        java.util.Map<BackendId, ServerTimes> sums = new java.util.HashMap<>();
        ServerTimes all = ServerTimes.NONE;
        for (BackendStatus server : servers.values()) {
            BackendId id = server.backend().id();
            if (server.backend().service().equals(service)) {
                ServerTimes own = times.getOrElse(id, DecayingTimes.NONE).at(nowMs);
                ServerTimes sum = own.plus(elsewhere.apply(id));
                sums.put(id, sum);
                all = all.plus(sum);
            }
        }
        for (java.util.Map.Entry<BackendId, ServerTimes> entry : sums.entrySet()) {
            BackendId id = entry.getKey();
            LearnedSpeed speed = learned.getOrElse(id, LearnedSpeed.USUAL)
                    .next(entry.getValue().speed(all, meanMs));
            next = speed.equals(LearnedSpeed.USUAL) ? next.remove(id) : next.put(id, speed);
        }
        return new SpeedState(
                fits,
                times.filter((id, t) -> servers.containsKey(id) && t.at(nowMs).expectedMs() >= MIN_SUM_MS),
                slowdowns.filterKeys(servers::containsKey),
                next,
                refreshedMs.put(service, nowMs));
    }

    /**
     * Returns the estimates for a service whose servers report their slowdown.
     *
     * @param service the name of the service
     * @param zone the availability zone of the node
     * @param nowMs the time, in milliseconds
     * @return the estimates
     */
    public ServerEstimates estimates(String service, Zone zone, long nowMs) {
        return new ServerEstimates(
                tokensPerMs(service).orElse(EngineTime.PREFILL_TOKENS_PER_MS),
                b -> weight(b.id()) / slowdown(b.id(), nowMs),
                ServerEstimates.standard(zone).zoneCostMs(),
                fits.getOrElse(service, TimeFit.NONE).baseMs(),
                this::weight,
                Optional.empty());
    }

    /** Returns the rounded speed. By exact speeds all nodes would prefer the same one of several idle, equal servers. */
    private double weight(BackendId id) {
        return learned.get(id).map(LearnedSpeed::weight).getOrElse(1.0);
    }

    /**
     * Returns the fitted rate at which the servers of a service process prompts.
     *
     * @param service the name of the service
     * @return tokens per millisecond; empty without enough evidence
     */
    public OptionalDouble tokensPerMs(String service) {
        return fits.getOrElse(service, TimeFit.NONE).tokensPerMs();
    }

    /**
     * Returns the learned speed of a server.
     *
     * @param id the server
     * @return the speed relative to the usual one of its service; 1 without observations
     */
    public double learnedSpeed(BackendId id) {
        return learned.getOrElse(id, LearnedSpeed.USUAL).speed();
    }

    /**
     * Returns this node's sums, for the other nodes.
     *
     * @param nowMs the time, in milliseconds
     * @return the sums by server
     */
    public java.util.Map<BackendId, ServerTimes> timesAt(long nowMs) {
        return times.mapValues(t -> t.at(nowMs)).toJavaMap();
    }

    private double slowdown(BackendId id, long nowMs) {
        return slowdowns.get(id).map(s -> s.at(nowMs)).getOrElse(1.0);
    }
}
