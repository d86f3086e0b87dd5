package org.fuchsiadeck.core.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Orders backend servers, one call at a time, whenever what is wanted differs from what was ordered last.
 *
 * @param servers the servers that are registered
 * @param samples attempts in progress at services, over the last seconds
 * @param ordered what was ordered, where the platform took it
 * @param withheld until when no servers are to be had at a place, in milliseconds
 * @param asked what the order in progress is about; null if there was none
 * @param askedCount the number it asks for
 * @param call the call in progress
 * @param sequence calls made so far
 */
record OrderDuty(
        List<Backend> servers,
        Queue<Sample> samples,
        io.vavr.collection.Map<Subject, Integer> ordered,
        io.vavr.collection.Map<Subject, Long> withheld,
        Subject asked,
        int askedCount,
        PendingCall call,
        long sequence) {
    static final OrderDuty NONE = new OrderDuty(
            List.of(),
            Queue.empty(),
            io.vavr.collection.HashMap.empty(),
            io.vavr.collection.HashMap.empty(),
            null,
            0,
            PendingCall.NONE,
            0);

    private static final long SAMPLE_MS = 500;

    /** Load is remembered for a few start-up times, so that servers are not given up between two peaks. */
    private static final long REMEMBER_MS = 20_000;

    /** A zone whose reclaimable servers were taken away has none for a while. */
    private static final long RECLAIMED_MS = 14_000;

    private static final long NONE_TO_BE_HAD_MS = 4_000;
    private static final long RETRY_MS = 1_000;

    OrderDuty {
        servers = List.copyOf(servers);
        requireNonNull(samples, "samples");
        requireNonNull(ordered, "ordered");
        requireNonNull(withheld, "withheld");
        requireNonNull(call, "call");
    }

    /**
     * What an order is about.
     *
     * @param service the service
     * @param place the zone and the kind of server
     */
    record Subject(String service, FleetPlan.Place place) {}

    /**
     * The load at a time.
     *
     * @param atMs when, in milliseconds
     * @param busy attempts in progress by service
     */
    record Sample(long atMs, Map<String, Integer> busy) {}

    /**
     * A change of the duty.
     *
     * @param duty the duty after it
     * @param effects what to do
     */
    record Update(OrderDuty duty, List<Effect> effects) {}

    OrderDuty listed(long nowMs, List<Backend> backends) {
        io.vavr.collection.Map<Subject, Long> taken = withheld;
        for (Backend backend : backends) {
            if (backend.reclaimable() && backend.leaving() && stayed(backend.id())) {
                Subject subject = new Subject(backend.service(), new FleetPlan.Place(backend.zone(), true));
                taken = taken.put(subject, nowMs + RECLAIMED_MS);
            }
        }
        return new OrderDuty(backends, samples, ordered, taken, asked, askedCount, call, sequence);
    }

    private boolean stayed(BackendId id) {
        return servers.stream().anyMatch(b -> b.id().equals(id) && !b.leaving());
    }

    /** Makes the next order, if one is due; only the holder may call this. */
    Update act(View view, long fence) {
        OrderDuty next = sampled(view);
        if (!next.call.free(view.nowMs())) {
            return new Update(next, List.of());
        }
        for (Scaling scaling : view.config().scaling()) {
            if (!next.settled(scaling.service())) {
                continue;
            }
            Map<FleetPlan.Place, Integer> wanted =
                    next.plan(view.nowMs(), scaling).wanted();
            for (FleetPlan.Place place : ordered(wanted)) {
                Subject subject = new Subject(scaling.service(), place);
                int count = wanted.get(place);
                int last = next.ordered.getOrElse(subject, next.present(scaling.service(), place));
                if (last != count) {
                    return next.order(view.nowMs(), fence, subject, count);
                }
            }
        }
        return new Update(next, List.of());
    }

    /** More servers are ordered before fewer, and reclaimable ones before others. */
    private static List<FleetPlan.Place> ordered(Map<FleetPlan.Place, Integer> wanted) {
        return wanted.keySet().stream()
                .sorted(java.util.Comparator.comparing((FleetPlan.Place p) -> !p.reclaimable())
                        .thenComparing(FleetPlan.Place::zone))
                .toList();
    }

    Update called(long nowMs, DutyEvent.Called event) {
        if (!call.awaits(event.tag())) {
            return new Update(this, List.of());
        }
        boolean done = event.result() == DutyEvent.Result.DONE;
        boolean none = event.result() == DutyEvent.Result.NONE_TO_BE_HAD;
        io.vavr.collection.Map<Subject, Integer> taken = done ? ordered.put(asked, askedCount) : ordered;
        io.vavr.collection.Map<Subject, Long> kept = none ? withheld.put(asked, nowMs + NONE_TO_BE_HAD_MS) : withheld;
        PendingCall next = done || none ? PendingCall.NONE : PendingCall.pause(nowMs, RETRY_MS);
        Effect log = new Effect.Log(
                done ? EventCode.SERVERS_ORDERED : EventCode.DUTY_CALL_FAILED,
                asked.service() + " in " + asked.place().zone()
                        + (asked.place().reclaimable() ? " reclaimable " : " other ") + askedCount + ": "
                        + event.detail());
        return new Update(
                new OrderDuty(servers, samples, taken, kept, asked, askedCount, next, sequence), List.of(log));
    }

    private Update order(long nowMs, long fence, Subject subject, int count) {
        String tag = "orders/" + sequence;
        Effect effect = new DutyEffect.OrderServers(
                tag,
                fence,
                subject.service(),
                subject.place().zone(),
                subject.place().reclaimable(),
                count);
        OrderDuty next = new OrderDuty(
                servers, samples, ordered, withheld, subject, count, PendingCall.call(tag, nowMs), sequence + 1);
        return new Update(next, List.of(effect));
    }

    private OrderDuty sampled(View view) {
        long now = view.nowMs();
        if (!samples.isEmpty() && now < samples.last().atMs() + SAMPLE_MS) {
            return this;
        }
        Map<BackendId, Integer> own = view.work().inFlight();
        Map<String, Integer> busy = new HashMap<>();
        for (Backend server : servers) {
            int count = own.getOrDefault(server.id(), 0) + view.use().inFlightElsewhere(now, server.id());
            busy.merge(server.service(), count, Integer::sum);
        }
        Queue<Sample> kept =
                samples.dropWhile(s -> s.atMs() + REMEMBER_MS < now).enqueue(new Sample(now, busy));
        return new OrderDuty(servers, kept, ordered, withheld, asked, askedCount, call, sequence);
    }

    private FleetPlan plan(long nowMs, Scaling scaling) {
        int busy = samples.map(s -> s.busy().getOrDefault(scaling.service(), 0))
                .max()
                .getOrElse(0);
        Map<FleetPlan.Place, Integer> present = new HashMap<>();
        for (Backend server : servers) {
            if (server.service().equals(scaling.service()) && !server.leaving()) {
                present.merge(new FleetPlan.Place(server.zone(), server.reclaimable()), 1, Integer::sum);
            }
        }
        Set<Zone> none = new HashSet<>();
        withheld.forEach((subject, until) -> {
            boolean now = subject.service().equals(scaling.service())
                    && subject.place().reclaimable()
                    && nowMs < until;
            if (now) {
                none.add(subject.place().zone());
            }
        });
        return new FleetPlan(scaling, busy, present, none);
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

    private int present(String service, FleetPlan.Place place) {
        return (int) servers.stream()
                .filter(b -> b.service().equals(service)
                        && b.zone().equals(place.zone())
                        && b.reclaimable() == place.reclaimable()
                        && !b.leaving())
                .count();
    }
}
