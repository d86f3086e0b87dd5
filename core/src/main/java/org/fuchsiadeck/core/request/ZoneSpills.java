package org.fuchsiadeck.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import io.vavr.collection.HashMap;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Fleet;
import org.fuchsiadeck.core.routing.Need;
import org.fuchsiadeck.core.routing.ServerEstimates;
import org.fuchsiadeck.core.routing.ZoneLoad;
import org.fuchsiadeck.core.routing.ZoneSpill;
import org.fuchsiadeck.core.share.ShareState;

/**
 * Keeps the spillover to other availability zones up to date and applies it to requests.
 */
final class ZoneSpills {
    /** Greatest number of needs with a spillover. It must be bounded because callers can name any model. */
    private static final int MAX_NEEDS = 256;

    /**
     * Fraction of the nodes whose reports must be known. A zone of which no reports arrive would look idle; of four
     * equal zones, one without reports leaves 0.75.
     */
    private static final double MIN_COVERAGE = 0.85;

    private ZoneSpills() {}

    /**
     * Returns the estimates for a request, after updating the spillover of its need if that is due. A prompt that shares
     * a prefix with others goes to the server that has read it, in whichever zone: with an owner in each zone, all
     * prefixes would be read once for each zone, which costs callers more than the way does.
     */
    static ServerEstimates estimates(
            RequestReduction reduction, ActiveRequest request, long seed, ServerEstimates base) {
        if (sharesPrefix(request)) {
            return base;
        }
        ZoneSpill.Traits traits = request.call()
                .completion()
                .map(c -> ZoneSpill.Traits.of(request.call().bodyBytes(), c.promptTokens(), c.maxTokens()))
                .orElseGet(() -> ZoneSpill.Traits.of(request.call().bodyBytes(), 0, 0));
        Zone own = reduction.view().self().zone();
        Need need = request.need();
        ZoneSpill spill = reduction.state().spills().getOrElse(need, ZoneSpill.initial(own));
        if (spill.isDue(reduction.nowMs())) {
            ZoneSpill next =
                    spill.update(reduction.nowMs(), loads(reduction, need, base), isInformed(reduction), traits);
            store(reduction, need, next);
            logChange(reduction, need, spill, next);
            spill = next;
        }
        return spill.estimates(base, seed, traits.transferMs());
    }

    private static boolean sharesPrefix(ActiveRequest request) {
        return request.call()
                .completion()
                .filter(c -> c.prefixTokens().size() > 1)
                .isPresent();
    }

    private static void store(RequestReduction reduction, Need need, ZoneSpill next) {
        io.vavr.collection.Map<Need, ZoneSpill> all = reduction.state().spills();
        boolean full = all.size() >= MAX_NEEDS && !all.containsKey(need);
        reduction.state(reduction.state().withSpills((full ? HashMap.<Need, ZoneSpill>empty() : all).put(need, next)));
    }

    private static boolean isInformed(RequestReduction reduction) {
        ShareState usage = reduction.view().usage();
        int nodes = Math.max(usage.nodes(), reduction.view().peers().alive().size() + 1);
        return usage.nodesWithServerReports(reduction.nowMs()) >= MIN_COVERAGE * nodes;
    }

    /** Adds up the load of the servers of a need that may be sent requests now, by zone. */
    private static SortedMap<Zone, ZoneLoad> loads(RequestReduction reduction, Need need, ServerEstimates base) {
        Fleet fleet = reduction.state().fleet();
        ShareState usage = reduction.view().usage();
        long now = reduction.nowMs();
        double slotMs = reduction
                .state()
                .loads()
                .get(need.service())
                .map(ServiceLoad::meanMs)
                .getOrElse(0.0);
        SortedMap<Zone, ZoneLoad> loads = TreeMap.empty();
        for (BackendStatus server : fleet.servers(need)) {
            Backend backend = server.backend();
            BackendId id = backend.id();
            if (fleet.mayBeSent(server, now)) {
                double speed = base.speed().applyAsDouble(backend);
                ZoneLoad zone = loads.getOrElse(backend.zone(), ZoneLoad.empty(backend.zone()))
                        .plus(
                                server,
                                usage.inFlightElsewhere(now, id),
                                usage.unreadElsewhere(now, id),
                                base.prefillTokensPerMs() * speed,
                                slotMs / speed);
                loads = loads.put(backend.zone(), zone);
            }
        }
        return loads;
    }

    private static void logChange(RequestReduction reduction, Need need, ZoneSpill before, ZoneSpill after) {
        if (before.isActive() == after.isActive()) {
            return;
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("service", need.service());
        need.model().ifPresent(m -> fields.put("model", m));
        fields.put("zone", after.own());
        fields.put("fraction", hundredths(after.fraction()));
        fields.put("waits_ms", after.waitsMs().mapValues(Math::round).toJavaMap());
        fields.put("informed", after.informed());
        reduction.log(after.isActive() ? EventCode.ZONE_SPILL_STARTED : EventCode.ZONE_SPILL_ENDED, fields);
    }

    private static double hundredths(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
