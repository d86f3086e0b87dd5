package org.fuchsiadeck.core.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.collection.Queue;
import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.ServiceScaling;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PendingCall;

import static java.util.Objects.requireNonNull;

/**
 * Orders backend servers, one call at a time, when the target number differs from the last order, or from the number of
 * registered servers after the time in which the order takes effect.
 *
 * @param servers the registered servers
 * @param samples servers needed by each service, over the last seconds
 * @param ordered the last orders that the platform accepted
 * @param withheld current and past shortages of servers
 * @param asked the last order that was sent; empty if there was none
 * @param call the call in progress
 * @param sequence the number of calls made so far
 */
record Autoscaler(
        List<Backend> servers,
        Queue<DemandSample> samples,
        io.vavr.collection.Map<Subject, Order> ordered,
        io.vavr.collection.Map<Subject, Shortage> withheld,
        Optional<Order> asked,
        PendingCall call,
        long sequence) {
    static final Autoscaler NONE = new Autoscaler(
            List.of(),
            Queue.empty(),
            io.vavr.collection.HashMap.empty(),
            io.vavr.collection.HashMap.empty(),
            Optional.empty(),
            PendingCall.NONE,
            0);

    private static final long SAMPLE_INTERVAL_MS = 500;

    /** A few start-up times of a server, so that servers are not given up between two peaks. */
    private static final long SAMPLE_RETENTION_MS = 20_000;

    /** Minimum fraction of the retention time with traffic before the quotas no longer determine the need. */
    private static final double MIN_TRAFFIC_FRACTION = 0.9;

    /** Time after a zone is reclaimed in which it has no reclaimable servers, and other zones may be reclaimed next. */
    private static final long RECLAIM_SHORTAGE_MS = 14_000;

    private static final long REFUSAL_SHORTAGE_MS = 4_000;
    private static final long RETRY_DELAY_MS = 1_000;

    /** Time beyond the start-up time within which new servers register and removed servers deregister. */
    private static final long REGISTRATION_MS = 3_000;

    Autoscaler {
        servers = List.copyOf(servers);
        requireNonNull(samples, "samples");
        requireNonNull(ordered, "ordered");
        requireNonNull(withheld, "withheld");
        requireNonNull(asked, "asked");
        requireNonNull(call, "call");
    }

    /**
     * The service, zone and kind of server that an order applies to.
     *
     * @param service the service
     * @param place the zone and the kind of server
     */
    record Subject(String service, FleetPlan.Place place) {
        Map<String, Object> logFields() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("service", service);
            fields.put("zone", place.zone());
            fields.put("reclaimable", place.reclaimable());
            return fields;
        }
    }

    /**
     * An order that sets the number of servers of one kind.
     *
     * @param subject the service, zone and kind of server
     * @param count the target number of servers
     * @param atMs the time of the order, in milliseconds
     */
    record Order(Subject subject, int count, long atMs) {
        Order {
            requireNonNull(subject, "subject");
        }
    }

    /**
     * A period in which no servers of one kind are available in a zone.
     *
     * @param untilMs the end of the period, in milliseconds
     * @param reclaimed whether the cause is that servers were reclaimed, rather than that an order was refused
     */
    record Shortage(long untilMs, boolean reclaimed) {}

    /**
     * The number of servers that services needed at one time.
     *
     * @param atMs the time, in milliseconds
     * @param needed servers needed, by service; 0 without traffic
     */
    record DemandSample(long atMs, Map<String, Double> needed) {}

    Autoscaler onListed(long nowMs, List<Backend> backends) {
        io.vavr.collection.Map<Subject, Shortage> shortages = withheld;
        for (Backend backend : backends) {
            if (backend.reclaimable() && backend.leaving() && wasActive(backend.id())) {
                Subject subject = new Subject(backend.service(), new FleetPlan.Place(backend.zone(), true));
                shortages = shortages.put(subject, new Shortage(nowMs + RECLAIM_SHORTAGE_MS, true));
            }
        }
        return new Autoscaler(backends, samples, ordered, shortages, asked, call, sequence);
    }

    private boolean wasActive(BackendId id) {
        return servers.stream().anyMatch(b -> b.id().equals(id) && !b.leaving());
    }

    /** Sends the next order if one is due. Only the leader may call this. */
    Update<Autoscaler> orderIfDue(View view, long fencingToken) {
        Autoscaler next = withSample(view);
        if (!next.call.isCallAllowed(view.nowMs())) {
            return new Update<>(next, List.of());
        }
        for (ServiceScaling scaling : view.config().scaling()) {
            if (!next.hasSingleVersion(scaling.service())) {
                continue;
            }
            FleetPlan plan = next.plan(view, scaling);
            Map<FleetPlan.Place, Integer> targets = plan.targetCounts();
            for (FleetPlan.Place place : orderSequence(targets)) {
                int count = targets.get(place);
                if (plan.current().ordered(place.zone(), place.reclaimable()) != count) {
                    Subject subject = new Subject(scaling.service(), place);
                    return next.placeOrder(fencingToken, new Order(subject, count, view.nowMs()), plan);
                }
            }
        }
        return new Update<>(next, List.of());
    }

    /** Sorts the places in the sequence in which they are ordered: reclaimable servers first, then by zone. */
    private static List<FleetPlan.Place> orderSequence(Map<FleetPlan.Place, Integer> targets) {
        return targets.keySet().stream()
                .sorted(java.util.Comparator.comparing((FleetPlan.Place p) -> !p.reclaimable())
                        .thenComparing(FleetPlan.Place::zone))
                .toList();
    }

    Update<Autoscaler> onCalled(long nowMs, DutyEvent.Called event) {
        if (!call.awaits(event.tag())) {
            return new Update<>(this, List.of());
        }
        Order order = asked.orElseThrow();
        Subject subject = order.subject();
        boolean done = event.result() == DutyEvent.Result.DONE;
        boolean refused = event.result() == DutyEvent.Result.NONE_TO_BE_HAD;
        boolean reclaimed = withheld.get(subject).exists(w -> w.reclaimed() && nowMs < w.untilMs());
        Shortage shortage = new Shortage(nowMs + REFUSAL_SHORTAGE_MS, false);
        PendingCall next = done || refused ? PendingCall.NONE : PendingCall.pause(nowMs, RETRY_DELAY_MS);
        Map<String, Object> fields = new LinkedHashMap<>(subject.logFields());
        fields.put("count", order.count());
        fields.put("outcome", event.result());
        Effect log =
                new Effect.Log(done ? EventCode.SERVERS_ORDERED : EventCode.DUTY_CALL_FAILED, event.detail(), fields);
        Autoscaler after = new Autoscaler(
                servers,
                samples,
                done ? ordered.put(subject, order) : ordered,
                refused && !reclaimed ? withheld.put(subject, shortage) : withheld,
                asked,
                next,
                sequence);
        return new Update<>(after, List.of(log));
    }

    private Update<Autoscaler> placeOrder(long fencingToken, Order order, FleetPlan plan) {
        String tag = "orders/" + sequence;
        Subject subject = order.subject();
        Effect effect = new DutyEffect.OrderServers(
                tag,
                fencingToken,
                subject.service(),
                subject.place().zone(),
                subject.place().reclaimable(),
                order.count());
        Map<String, Object> fields = new LinkedHashMap<>(subject.logFields());
        fields.put("count", order.count());
        fields.put(
                "standing",
                plan.current().ordered(subject.place().zone(), subject.place().reclaimable()));
        fields.put("usual_need", Math.ceil(plan.recentNeed().median()));
        fields.put("most_need", Math.ceil(plan.recentNeed().peak()));
        fields.put("expected", plan.serversForQuotas());
        fields.put("reclaiming", plan.recentlyReclaimed());
        fields.put("withheld", plan.unavailableZones());
        Effect log = new Effect.Log(EventCode.ORDER_DECIDED, "", fields);
        Autoscaler next = new Autoscaler(
                servers,
                samples,
                ordered,
                withheld,
                Optional.of(order),
                PendingCall.of(tag, order.atMs()),
                sequence + 1);
        return new Update<>(next, List.of(log, effect));
    }

    private Autoscaler withSample(View view) {
        long now = view.nowMs();
        if (!samples.isEmpty() && now < samples.last().atMs() + SAMPLE_INTERVAL_MS) {
            return this;
        }
        Map<String, Double> needed = new HashMap<>();
        for (ServiceScaling scaling : view.config().scaling()) {
            needed.put(scaling.service(), currentDemand(view, scaling.service()).serversNeeded());
        }
        Queue<DemandSample> kept =
                samples.dropWhile(s -> s.atMs() + SAMPLE_RETENTION_MS < now).enqueue(new DemandSample(now, needed));
        return new Autoscaler(servers, kept, ordered, withheld, asked, call, sequence);
    }

    private Demand currentDemand(View view, String service) {
        Map<BackendId, Integer> own = view.work().inFlight();
        int inProgress = 0;
        int slots = 0;
        int serverCount = 0;
        for (Backend server : servers) {
            if (server.service().equals(service)) {
                serverCount++;
                slots += server.slots();
                inProgress +=
                        own.getOrDefault(server.id(), 0) + view.usage().inFlightElsewhere(view.nowMs(), server.id());
            }
        }
        int slotsPerServer = serverCount == 0 ? 1 : Math.max(1, slots / serverCount);
        return new Demand(
                view.usage().requestsPerS(view.nowMs(), service),
                view.work().meanRequestMs(service),
                inProgress,
                slotsPerServer,
                serverCount,
                meanSpeed(view, service));
    }

    /** Returns the mean learned speed of the registered servers of a service; 1 if none is known. */
    private double meanSpeed(View view, String service) {
        return servers.stream()
                .filter(s -> s.service().equals(service) && !s.leaving())
                .mapToDouble(s -> view.work().serverSpeed(s.id()))
                .average()
                .orElse(1);
    }

    /** Returns the mean speed of a service's servers by zone and kind, where it differs from that of all of them. */
    private Map<FleetPlan.Place, Double> relativeSpeeds(View view, String service) {
        double mean = meanSpeed(view, service);
        Map<FleetPlan.Place, Double> sums = new HashMap<>();
        Map<FleetPlan.Place, Integer> counts = new HashMap<>();
        for (Backend server : servers) {
            if (server.service().equals(service) && !server.leaving()) {
                FleetPlan.Place place = new FleetPlan.Place(server.zone(), server.reclaimable());
                sums.merge(place, view.work().serverSpeed(server.id()), Double::sum);
                counts.merge(place, 1, Integer::sum);
            }
        }
        sums.replaceAll((place, sum) -> sum / counts.get(place) / mean);
        sums.values().removeIf(speed -> speed == 1);
        return sums;
    }

    private FleetPlan plan(View view, ServiceScaling scaling) {
        long nowMs = view.nowMs();
        String service = scaling.service();
        Map<FleetPlan.Place, Integer> registered = new HashMap<>();
        for (Backend server : servers) {
            if (server.service().equals(service) && !server.leaving()) {
                registered.merge(new FleetPlan.Place(server.zone(), server.reclaimable()), 1, Integer::sum);
            }
        }
        Map<FleetPlan.Place, Integer> expected = new HashMap<>(registered);
        ordered.forEach((subject, order) -> {
            boolean pending = nowMs < order.atMs() + scaling.startupMs() + REGISTRATION_MS;
            boolean reclaimed = withheld.get(subject).exists(w -> w.reclaimed() && nowMs < w.untilMs());
            if (subject.service().equals(service) && pending && !reclaimed) {
                expected.put(subject.place(), order.count());
            }
        });
        Set<Zone> unavailable = new HashSet<>();
        boolean recentlyReclaimed = false;
        for (Map.Entry<Subject, Shortage> entry : withheld.toJavaMap().entrySet()) {
            Subject subject = entry.getKey();
            if (subject.service().equals(service)
                    && subject.place().reclaimable()
                    && nowMs < entry.getValue().untilMs()) {
                unavailable.add(subject.place().zone());
                recentlyReclaimed |= entry.getValue().reclaimed();
            }
        }
        int serversForQuotas = hasSteadyTraffic(service)
                ? 0
                : FleetPlan.serversForQuotas(
                        view.config().teams(),
                        view.work().tokensPerMs(service).orElse(EngineTime.PREFILL_TOKENS_PER_MS)
                                * meanSpeed(view, service));
        return new FleetPlan(
                scaling,
                recentNeed(service),
                serversForQuotas,
                new FleetPlan.CurrentServers(registered, expected, relativeSpeeds(view, service)),
                recentlyReclaimed,
                unavailable);
    }

    /** Returns whether a service has had traffic for most of the time for which samples are retained. */
    private boolean hasSteadyTraffic(String service) {
        long busy = samples.count(s -> s.needed().getOrDefault(service, 0.0) > 0);
        return busy * SAMPLE_INTERVAL_MS >= MIN_TRAFFIC_FRACTION * SAMPLE_RETENTION_MS;
    }

    private FleetPlan.RecentNeed recentNeed(String service) {
        double[] needed = samples.toJavaStream()
                .mapToDouble(s -> s.needed().getOrDefault(service, 0.0))
                .filter(n -> n > 0)
                .sorted()
                .toArray();
        return needed.length == 0
                ? new FleetPlan.RecentNeed(0, 0)
                : new FleetPlan.RecentNeed(needed[needed.length / 2], needed[needed.length - 1]);
    }

    /** Returns whether all servers of a service run the same version; otherwise their number is left unchanged. */
    private boolean hasSingleVersion(String service) {
        Set<String> versions = new TreeSet<>();
        for (Backend server : servers) {
            if (server.service().equals(service) && !server.leaving()) {
                versions.add(server.version());
            }
        }
        return versions.size() <= 1;
    }
}
