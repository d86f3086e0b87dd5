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
import org.fuchsiadeck.core.config.Scaling;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PendingCall;

import static java.util.Objects.requireNonNull;

/**
 * Orders backend servers, one call at a time, whenever what is wanted differs from what was ordered last, or from what
 * there is once an order has had its time.
 *
 * @param servers the servers that are registered
 * @param samples servers that services needed, over the last seconds
 * @param ordered the last orders that the platform took
 * @param withheld where no servers are to be had
 * @param asked the order in progress; empty if there was none
 * @param call the call in progress
 * @param sequence calls made so far
 */
record OrderDuty(
        List<Backend> servers,
        Queue<Sample> samples,
        io.vavr.collection.Map<Subject, Order> ordered,
        io.vavr.collection.Map<Subject, Withheld> withheld,
        Optional<Order> asked,
        PendingCall call,
        long sequence) {
    static final OrderDuty NONE = new OrderDuty(
            List.of(),
            Queue.empty(),
            io.vavr.collection.HashMap.empty(),
            io.vavr.collection.HashMap.empty(),
            Optional.empty(),
            PendingCall.NONE,
            0);

    private static final long SAMPLE_MS = 500;

    /** Load is remembered for a few start-up times, so that servers are not given up between two peaks. */
    private static final long REMEMBER_MS = 20_000;

    /** Part of the remembered time with traffic that tells the usual load. */
    private static final double SEEN_LONG = 0.9;

    /** A zone whose reclaimable servers were taken away has none for a while, and others may be next. */
    private static final long RECLAIMED_MS = 14_000;

    private static final long NONE_TO_BE_HAD_MS = 4_000;
    private static final long RETRY_MS = 1_000;

    /** A new server registers, and one that is given up deregisters, within this time beyond the start-up time. */
    private static final long REGISTER_MS = 3_000;

    OrderDuty {
        servers = List.copyOf(servers);
        requireNonNull(samples, "samples");
        requireNonNull(ordered, "ordered");
        requireNonNull(withheld, "withheld");
        requireNonNull(asked, "asked");
        requireNonNull(call, "call");
    }

    /**
     * What an order is about.
     *
     * @param service the service
     * @param place the zone and the kind of server
     */
    record Subject(String service, FleetPlan.Place place) {
        Map<String, Object> fields() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("service", service);
            fields.put("zone", place.zone());
            fields.put("reclaimable", place.reclaimable());
            return fields;
        }
    }

    /**
     * An order of servers.
     *
     * @param subject what it is about
     * @param count how many there are to be
     * @param atMs when it was made, in milliseconds
     */
    record Order(Subject subject, int count, long atMs) {
        Order {
            requireNonNull(subject, "subject");
        }
    }

    /**
     * That no servers are to be had at a place.
     *
     * @param untilMs for how long, in milliseconds
     * @param reclaimed whether servers were taken away there, rather than an order refused
     */
    record Withheld(long untilMs, boolean reclaimed) {}

    /**
     * The load at a time.
     *
     * @param atMs when, in milliseconds
     * @param needed servers needed by service; 0 before there is traffic
     */
    record Sample(long atMs, Map<String, Double> needed) {}

    OrderDuty listed(long nowMs, List<Backend> backends) {
        io.vavr.collection.Map<Subject, Withheld> taken = withheld;
        for (Backend backend : backends) {
            if (backend.reclaimable() && backend.leaving() && stayed(backend.id())) {
                Subject subject = new Subject(backend.service(), new FleetPlan.Place(backend.zone(), true));
                taken = taken.put(subject, new Withheld(nowMs + RECLAIMED_MS, true));
            }
        }
        return new OrderDuty(backends, samples, ordered, taken, asked, call, sequence);
    }

    private boolean stayed(BackendId id) {
        return servers.stream().anyMatch(b -> b.id().equals(id) && !b.leaving());
    }

    /** Makes the next order, if one is due; only the holder may call this. */
    Update<OrderDuty> act(View view, long fence) {
        OrderDuty next = sampled(view);
        if (!next.call.isCallAllowed(view.nowMs())) {
            return new Update<>(next, List.of());
        }
        for (Scaling scaling : view.config().scaling()) {
            if (!next.settled(scaling.service())) {
                continue;
            }
            FleetPlan plan = next.plan(view, scaling);
            Map<FleetPlan.Place, Integer> wanted = plan.wanted();
            for (FleetPlan.Place place : ordered(wanted)) {
                int count = wanted.get(place);
                if (plan.standing().ordered(place.zone(), place.reclaimable()) != count) {
                    Subject subject = new Subject(scaling.service(), place);
                    return next.order(fence, new Order(subject, count, view.nowMs()), plan);
                }
            }
        }
        return new Update<>(next, List.of());
    }

    /** More servers are ordered before fewer, and reclaimable ones before others. */
    private static List<FleetPlan.Place> ordered(Map<FleetPlan.Place, Integer> wanted) {
        return wanted.keySet().stream()
                .sorted(java.util.Comparator.comparing((FleetPlan.Place p) -> !p.reclaimable())
                        .thenComparing(FleetPlan.Place::zone))
                .toList();
    }

    Update<OrderDuty> called(long nowMs, DutyEvent.Called event) {
        if (!call.awaits(event.tag())) {
            return new Update<>(this, List.of());
        }
        Order order = asked.orElseThrow();
        Subject subject = order.subject();
        boolean done = event.result() == DutyEvent.Result.DONE;
        boolean none = event.result() == DutyEvent.Result.NONE_TO_BE_HAD;
        boolean reclaimed = withheld.get(subject).exists(w -> w.reclaimed() && nowMs < w.untilMs());
        Withheld refused = new Withheld(nowMs + NONE_TO_BE_HAD_MS, false);
        PendingCall next = done || none ? PendingCall.NONE : PendingCall.pause(nowMs, RETRY_MS);
        Map<String, Object> fields = new LinkedHashMap<>(subject.fields());
        fields.put("count", order.count());
        fields.put("outcome", event.result());
        Effect log =
                new Effect.Log(done ? EventCode.SERVERS_ORDERED : EventCode.DUTY_CALL_FAILED, event.detail(), fields);
        OrderDuty after = new OrderDuty(
                servers,
                samples,
                done ? ordered.put(subject, order) : ordered,
                none && !reclaimed ? withheld.put(subject, refused) : withheld,
                asked,
                next,
                sequence);
        return new Update<>(after, List.of(log));
    }

    private Update<OrderDuty> order(long fence, Order order, FleetPlan plan) {
        String tag = "orders/" + sequence;
        Subject subject = order.subject();
        Effect effect = new DutyEffect.OrderServers(
                tag,
                fence,
                subject.service(),
                subject.place().zone(),
                subject.place().reclaimable(),
                order.count());
        Map<String, Object> fields = new LinkedHashMap<>(subject.fields());
        fields.put("count", order.count());
        fields.put(
                "standing",
                plan.standing().ordered(subject.place().zone(), subject.place().reclaimable()));
        fields.put("usual_need", Math.ceil(plan.load().usual()));
        fields.put("most_need", Math.ceil(plan.load().most()));
        fields.put("expected", plan.expected());
        fields.put("reclaiming", plan.reclaiming());
        fields.put("withheld", plan.withheld());
        Effect log = new Effect.Log(EventCode.ORDER_DECIDED, "", fields);
        OrderDuty next = new OrderDuty(
                servers,
                samples,
                ordered,
                withheld,
                Optional.of(order),
                PendingCall.of(tag, order.atMs()),
                sequence + 1);
        return new Update<>(next, List.of(log, effect));
    }

    private OrderDuty sampled(View view) {
        long now = view.nowMs();
        if (!samples.isEmpty() && now < samples.last().atMs() + SAMPLE_MS) {
            return this;
        }
        Map<String, Double> needed = new HashMap<>();
        for (Scaling scaling : view.config().scaling()) {
            needed.put(scaling.service(), demand(view, scaling.service()).needed());
        }
        Queue<Sample> kept =
                samples.dropWhile(s -> s.atMs() + REMEMBER_MS < now).enqueue(new Sample(now, needed));
        return new OrderDuty(servers, kept, ordered, withheld, asked, call, sequence);
    }

    private Demand demand(View view, String service) {
        Map<BackendId, Integer> own = view.work().inFlight();
        int inProgress = 0;
        int slots = 0;
        int count = 0;
        for (Backend server : servers) {
            if (server.service().equals(service)) {
                count++;
                slots += server.slots();
                inProgress +=
                        own.getOrDefault(server.id(), 0) + view.use().inFlightElsewhere(view.nowMs(), server.id());
            }
        }
        int slotsEach = count == 0 ? 1 : Math.max(1, slots / count);
        return new Demand(
                view.use().requestsPerS(view.nowMs(), service),
                view.work().requestMs(service),
                inProgress,
                slotsEach,
                count);
    }

    private FleetPlan plan(View view, Scaling scaling) {
        long nowMs = view.nowMs();
        String service = scaling.service();
        Map<FleetPlan.Place, Integer> up = new HashMap<>();
        for (Backend server : servers) {
            if (server.service().equals(service) && !server.leaving()) {
                up.merge(new FleetPlan.Place(server.zone(), server.reclaimable()), 1, Integer::sum);
            }
        }
        Map<FleetPlan.Place, Integer> standing = new HashMap<>(up);
        ordered.forEach((subject, order) -> {
            boolean underWay = nowMs < order.atMs() + scaling.startupMs() + REGISTER_MS;
            boolean taken = withheld.get(subject).exists(w -> w.reclaimed() && nowMs < w.untilMs());
            if (subject.service().equals(service) && underWay && !taken) {
                standing.put(subject.place(), order.count());
            }
        });
        Set<Zone> none = new HashSet<>();
        boolean reclaiming = false;
        for (Map.Entry<Subject, Withheld> entry : withheld.toJavaMap().entrySet()) {
            Subject subject = entry.getKey();
            if (subject.service().equals(service)
                    && subject.place().reclaimable()
                    && nowMs < entry.getValue().untilMs()) {
                none.add(subject.place().zone());
                reclaiming |= entry.getValue().reclaimed();
            }
        }
        int expected = seenLong(service) ? 0 : FleetPlan.expected(view.config().teams());
        return new FleetPlan(scaling, load(service), expected, new FleetPlan.Standing(up, standing), reclaiming, none);
    }

    /** Tells whether a service has had traffic for as long as load is remembered. */
    private boolean seenLong(String service) {
        long busy = samples.count(s -> s.needed().getOrDefault(service, 0.0) > 0);
        return busy * SAMPLE_MS >= SEEN_LONG * REMEMBER_MS;
    }

    private FleetPlan.Load load(String service) {
        double[] needed = samples.toJavaStream()
                .mapToDouble(s -> s.needed().getOrDefault(service, 0.0))
                .filter(n -> n > 0)
                .sorted()
                .toArray();
        return needed.length == 0
                ? new FleetPlan.Load(0, 0)
                : new FleetPlan.Load(needed[needed.length / 2], needed[needed.length - 1]);
    }

    /** While two versions of a service run side by side, its number of servers is left alone. */
    private boolean settled(String service) {
        Set<String> versions = new TreeSet<>();
        for (Backend server : servers) {
            if (server.service().equals(service) && !server.leaving()) {
                versions.add(server.version());
            }
        }
        return versions.size() <= 1;
    }
}
