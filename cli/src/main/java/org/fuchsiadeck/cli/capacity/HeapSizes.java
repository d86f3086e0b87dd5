package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;

import org.fuchsiadeck.core.request.RequestEvent;

/**
 * The heap that a node's state takes, as the difference after collections. The models that events were made from are
 * gone by then, so that only what the state keeps counts.
 */
final class HeapSizes {
    private static final List<Integer> BACKENDS = List.of(12, 400, 4_100);
    private static final List<Integer> MEMBERS = List.of(8, 32, 128, 370);
    private static final List<Integer> OPEN = List.of(100, 450, 2_000);
    private static final List<Integer> CLAIMS = List.of(1_000, 10_000, 40_000);
    private static final List<Integer> ENTRIES = List.of(10, 100, 1_000);
    private static final List<Integer> PEERS = List.of(3, 8, 32, 370);
    private static final List<Integer> STREAMS = List.of(100, 1_000, 10_000);
    private static final int MANY = 370;
    private static final int ROUTES = 4;

    private HeapSizes() {}

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        out.addAll(points(
                "workers", "backends", BACKENDS, n -> new ModelNode(0).list(n).state()));
        out.addAll(points("members", "members", MEMBERS, n -> new ModelNode(n).state()));
        out.addAll(points(
                "roster",
                "roster members",
                MEMBERS,
                n -> new ModelNode(0).roster(n).state()));
        out.addAll(points("routes", "routes", ENTRIES, n -> Samples.configuration(2, n, 0, 0)));
        out.addAll(points("teams", "teams", ENTRIES, n -> Samples.configuration(2, 2, n, 0)));
        out.addAll(points("exceptions", "exceptions", ENTRIES, n -> Samples.configuration(2, 2, 0, n)));
        out.addAll(points("open_requests", "requests", OPEN, HeapSizes::open));
        out.addAll(points("prefix_view", "streams sent", STREAMS, HeapSizes::sent));
        out.addAll(points(
                "claims", "claims held", CLAIMS, n -> ClaimCosts.holding(n).state()));
        out.addAll(points(
                "evidence",
                "peers' evidence",
                PEERS,
                n -> RolloutCosts.merging(n, ROUTES).state()));
        return out;
    }

    private static List<Point> points(String item, String per, List<Integer> sizes, IntFunction<Object> value) {
        return sizes.stream()
                .map(n -> Meter.heap("heap." + item, per, n, value))
                .toList();
    }

    private static Object open(int requests) {
        ModelNode node = new ModelNode(0).list(MANY);
        for (int i = 0; i < requests; i++) {
            RequestCosts.dispatch(node, i, Samples.stream(0));
        }
        return node.state();
    }

    /** Streams that have ended: what is left is the view of the prefixes that were sent. */
    private static Object sent(int streams) {
        ModelNode node = new ModelNode(0).list(MANY);
        for (int i = 0; i < streams; i++) {
            var d = RequestCosts.dispatch(node, i, Samples.stream(i));
            node.take(new RequestEvent.AnswerStarted(d.id(), d.attempt(), Optional.empty()));
            node.take(new RequestEvent.AnswerCompleted(d.id(), d.attempt(), 200, 0, 0, Optional.empty()));
        }
        return node.state();
    }
}
