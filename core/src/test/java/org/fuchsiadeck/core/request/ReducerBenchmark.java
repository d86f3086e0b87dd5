package org.fuchsiadeck.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.Step;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.VersionShares;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * Measures the time that the request reducer takes for an event. The arguments are the numbers of backend servers and
 * of entry nodes and the concurrency allowed at a server, such as {@code 4100 370 32}; a concurrency of 1
 * overloads the servers, which should then be few.
 */
public final class ReducerBenchmark {
    private static final int REQUESTS = 60_000;
    private static final int MAX_IN_PROGRESS = 200;
    private static final int LIST_UPDATES = 50;

    private static int concurrency;
    private final RequestReducer reducer = new RequestReducer();
    private final Configuration config =
            new Configuration(1, policy(), List.of(), List.of(Harness.STATUS, Harness.DRAFT), List.of());
    private final Identity self = new Identity(new NodeId("n0"), new Zone("z0"), new Address("127.0.0.1", 1), 42);
    private final Peers peers;
    private RequestState state = RequestState.initial();
    private int events;
    private int refused;

    private ReducerBenchmark(int nodes) {
        TreeMap<NodeId, Peers.Peer> alive = new TreeMap<>();
        for (int i = 1; i < nodes; i++) {
            NodeId id = new NodeId("n" + i);
            alive.put(id, new Peers.Peer(id, new Address("127.0.0.1", 1), new Zone("z" + i % 4)));
        }
        peers = new Peers(alive);
    }

    /**
     * Runs the measurement three times; the first two runs are warm-up.
     *
     * @param args the number of backend servers, the number of nodes, and the concurrency allowed at a server
     */
    public static void main(String[] args) {
        int backends = Integer.parseInt(args[0]);
        int nodes = Integer.parseInt(args[1]);
        concurrency = Integer.parseInt(args[2]);
        for (int run = 0; run < 3; run++) {
            new ReducerBenchmark(nodes).run(backends);
        }
    }

    private void run(int count) {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            backends.add(backend(i, "v1"));
        }
        reduce(new PlatformEvent.Listed(backends, List.of()), 0);
        long[] arrivalNs = new long[REQUESTS];
        Queue<RequestEffect.Dispatch> open = new ArrayDeque<>();
        long startNs = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            long arrivalStartNs = System.nanoTime();
            arrive(i).forEach(open::add);
            arrivalNs[i] = System.nanoTime() - arrivalStartNs;
            boolean overload = concurrency == 1;
            if (open.size() >= (overload ? 12 : MAX_IN_PROGRESS) && (!overload || i % 2 == 0)) {
                complete(open.remove(), i).forEach(open::add);
            }
        }
        long nsPerEvent = (System.nanoTime() - startNs) / events;
        Arrays.sort(arrivalNs);
        long listUpdateNs = measureListUpdates(backends);
        System.out.printf(
                "%d servers, %d nodes: %d ns an event; arrival p50 %d ns, p99 %d ns, max %d us;"
                        + " changed list %d us; refused %d%n",
                count,
                peers.alive().size() + 1,
                nsPerEvent,
                arrivalNs[REQUESTS / 2],
                arrivalNs[REQUESTS - REQUESTS / 100],
                arrivalNs[REQUESTS - 1] / 1_000,
                listUpdateNs / 1_000,
                refused);
    }

    private long measureListUpdates(List<Backend> backends) {
        long startNs = System.nanoTime();
        for (int i = 0; i < LIST_UPDATES; i++) {
            List<Backend> changed = new ArrayList<>(backends);
            changed.set(0, backend(0, "v" + i));
            reduce(new PlatformEvent.Listed(changed, List.of()), REQUESTS);
            arrive(REQUESTS + i);
        }
        return (System.nanoTime() - startNs) / LIST_UPDATES;
    }

    private List<RequestEffect.Dispatch> arrive(int i) {
        CallerRequest.Completion completion = new CallerRequest.Completion(
                "m", Optional.empty(), List.of(i % 50L, 1_000L + i % 500, 10_000L + i), 600, 100);
        CallerRequest request = new CallerRequest(
                "POST", "/draft", new TeamId("t" + i % 5), Optional.empty(), 10, true, Optional.of(completion));
        List<Effect> effects = reduce(new RequestEvent.Arrived(new RequestId("r" + i), request), i);
        refused += Harness.effectsOfType(effects, RequestEffect.Respond.class).size();
        return Harness.effectsOfType(effects, RequestEffect.Dispatch.class);
    }

    private List<RequestEffect.Dispatch> complete(RequestEffect.Dispatch dispatch, int i) {
        reduce(new RequestEvent.Writing(dispatch.id(), dispatch.attempt()), i);
        reduce(new RequestEvent.AnswerStarted(dispatch.id(), dispatch.attempt(), Optional.empty()), i);
        for (int tokens = 10; tokens <= 50; tokens += 10) {
            reduce(new RequestEvent.Progressed(dispatch.id(), dispatch.attempt(), tokens), i);
        }
        return Harness.effectsOfType(
                reduce(
                        new RequestEvent.AnswerCompleted(
                                dispatch.id(), dispatch.attempt(), 200, 60, 0, Optional.empty()),
                        i),
                RequestEffect.Dispatch.class);
    }

    private List<Effect> reduce(Event event, int i) {
        events++;
        long nowMs = i + 1;
        View view = new View(self, nowMs, nowMs, config, VersionShares.NONE, peers);
        Step<RequestState> step = reducer.reduce(state, view, event);
        state = step.state();
        return step.effects();
    }

    private static Policy policy() {
        return new Policy(300, 5_000, 2_000, 60_000, 1_000, 3, 10, concurrency, 256, 2_000, 500, 5, 600_000, 100, 0);
    }

    private static Backend backend(int i, String version) {
        return new Backend(
                new BackendId("e" + i),
                new Address("127.0.0.1", 2),
                new Zone("z" + i % 4),
                Backend.Kind.ENGINE,
                "assistant",
                version,
                Set.of("m"),
                Set.of(),
                Set.of(),
                32,
                1,
                true,
                false);
    }
}
