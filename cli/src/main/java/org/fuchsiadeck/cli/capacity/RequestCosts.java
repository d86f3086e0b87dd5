package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.platform.PlatformEvent;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEvent;

/**
 * What a caller's request, a batch of tokens and a reading of the instance list cost the reducer.
 */
final class RequestCosts {
    private static final List<Integer> BACKENDS = List.of(12, 400, 4_100);
    private static final List<Integer> OPEN = List.of(10, 100, 450, 1_000);
    private static final int NODES = 370;
    private static final int MOST = 20_000;
    private static final int MOST_LISTS = 64;
    private static final String PER_BACKEND = "backends";

    private RequestCosts() {}

    static List<Point> all() {
        List<Point> out = new ArrayList<>();
        for (int backends : BACKENDS) {
            out.addAll(request("request.plain", backends, i -> Samples.entry(Optional.empty())));
            out.addAll(request("request.stream", backends, Samples::stream));
            out.addAll(Meter.cost("list.unchanged", PER_BACKEND, backends, MOST_LISTS, () -> lists(backends, false)));
            out.addAll(Meter.cost("list.one_changed", PER_BACKEND, backends, MOST_LISTS, () -> lists(backends, true)));
        }
        for (int open : OPEN) {
            out.addAll(Meter.cost("stream.progress", "open requests", open, MOST, () -> progress(open)));
        }
        return out;
    }

    @FunctionalInterface
    private interface Calls {
        CallerRequest call(int number);
    }

    private static List<Point> request(String item, int backends, Calls calls) {
        return Meter.cost(item, PER_BACKEND, backends, MOST, () -> {
            ModelNode node = new ModelNode(NODES - 1).list(backends);
            answer(node, 0, calls.call(0));
            return i -> answer(node, i + 1, calls.call(i + 1));
        });
    }

    private static void answer(ModelNode node, int number, CallerRequest call) {
        RequestEffect.Dispatch d = dispatch(node, number, call);
        node.advance(1);
        node.take(new RequestEvent.AnswerStarted(d.id(), d.attempt(), Optional.empty()));
        node.take(new RequestEvent.AnswerCompleted(d.id(), d.attempt(), 200, 0, 0, Optional.empty()));
    }

    /** Brings a request to the point where its bytes were written. */
    static RequestEffect.Dispatch dispatch(ModelNode node, int number, CallerRequest call) {
        List<Effect> effects = node.take(new RequestEvent.Arrived(new RequestId("request-" + number), call));
        List<RequestEffect.Dispatch> dispatches = ModelNode.of(effects, RequestEffect.Dispatch.class);
        if (dispatches.isEmpty()) {
            throw new IllegalStateException("a request was not dispatched: " + effects);
        }
        RequestEffect.Dispatch d = dispatches.get(0);
        node.take(new RequestEvent.Writing(d.id(), d.attempt()));
        return d;
    }

    private static Meter.Work progress(int open) {
        ModelNode node = new ModelNode(NODES - 1).list(NODES);
        List<RequestEffect.Dispatch> streams = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            RequestEffect.Dispatch d = dispatch(node, i, Samples.stream(i));
            node.take(new RequestEvent.AnswerStarted(d.id(), d.attempt(), Optional.empty()));
            streams.add(d);
        }
        return i -> {
            RequestEffect.Dispatch d = streams.get(i % open);
            node.take(new RequestEvent.Progressed(d.id(), d.attempt(), 2 + i / open * 2));
        };
    }

    private static Meter.Work lists(int backends, boolean changed) {
        ModelNode node = new ModelNode(NODES - 1).list(backends);
        List<PlatformEvent.Listed> readings = new ArrayList<>();
        for (int i = 0; i < MOST_LISTS; i++) {
            var listed = Samples.backends(backends, "v1");
            if (changed) {
                listed.set(0, Samples.backend(0, "v" + (2 + i)));
            }
            readings.add(new PlatformEvent.Listed(listed, List.of()));
        }
        return i -> {
            node.advance(1_000);
            node.take(readings.get(i));
            answer(node, i, Samples.stream(i));
        };
    }
}
