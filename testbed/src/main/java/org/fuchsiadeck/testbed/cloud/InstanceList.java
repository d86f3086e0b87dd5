package org.fuchsiadeck.testbed.cloud;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * The list of instances with enough of its past to show it late. The clock is the caller's, in nanoseconds.
 */
final class InstanceList {
    private static final int MAX_PAST = 1_000;

    private final Deque<Dated> past = new ArrayDeque<>();

    InstanceList(long nowNs) {
        past.add(new Dated(new Snapshot(Map.of(), Map.of()), nowNs));
    }

    synchronized void change(UnaryOperator<Snapshot> change, long nowNs) {
        past.add(new Dated(change.apply(past.getLast().snapshot), nowNs));
        if (past.size() > MAX_PAST) {
            past.remove();
        }
    }

    /** Gives the newest list that is not younger than a time, or the oldest known. */
    synchronized Snapshot asOf(long timeNs) {
        Snapshot found = past.getFirst().snapshot;
        for (Dated d : past) {
            if (d.atNs - timeNs > 0) {
                break;
            }
            found = d.snapshot;
        }
        return found;
    }

    /**
     * The instances at a time.
     *
     * @param backends backend servers by id
     * @param nodes entry instances by id
     */
    record Snapshot(Map<String, BackendInstance> backends, Map<String, NodeInstance> nodes) {
        List<BackendInstance> backendList() {
            return new ArrayList<>(backends.values());
        }

        List<NodeInstance> nodeList() {
            return new ArrayList<>(nodes.values());
        }

        Snapshot with(BackendInstance b) {
            Map<String, BackendInstance> next = new TreeMap<>(backends);
            next.put(b.id(), b);
            return new Snapshot(next, nodes);
        }

        Snapshot with(NodeInstance n) {
            Map<String, NodeInstance> next = new TreeMap<>(nodes);
            next.put(n.id(), n);
            return new Snapshot(backends, next);
        }

        Snapshot without(String id) {
            Map<String, BackendInstance> b = new TreeMap<>(backends);
            Map<String, NodeInstance> n = new TreeMap<>(nodes);
            b.remove(id);
            n.remove(id);
            return new Snapshot(b, n);
        }

        Snapshot version(String id, String version) {
            BackendInstance b = backends.get(id);
            return b == null ? this : with(b.withVersion(version));
        }

        Snapshot leaving(String id) {
            BackendInstance b = backends.get(id);
            return b == null ? this : with(b.asLeaving());
        }
    }

    private record Dated(Snapshot snapshot, long atNs) {}
}
