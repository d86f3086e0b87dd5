package org.fuchsiadeck.testbed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

import org.fuchsiadeck.testbed.cloud.BackendInstance;

/**
 * The backend servers of a testbed.
 */
final class HostSet {
    private final Map<String, Host> hosts = new ConcurrentSkipListMap<>();

    void add(Host host) {
        hosts.put(host.spec().id(), host);
    }

    boolean contains(String id) {
        return hosts.containsKey(id);
    }

    Host get(String id) {
        Host host = hosts.get(id);
        if (host == null) {
            throw new IllegalArgumentException("no backend server " + id + ", there are " + hosts.keySet());
        }
        return host;
    }

    /** Gives the ids of the servers of an availability zone that listen. */
    List<String> runningIn(String zone) {
        return hosts.values().stream()
                .filter(h -> h.spec().zone().equals(zone) && h.server().isRunning())
                .map(h -> h.spec().id())
                .toList();
    }

    /** Counts how often each entry was run, over all applications. */
    Map<String, Integer> entryRuns() {
        Map<String, Integer> runs = new TreeMap<>();
        hosts.values().stream()
                .filter(h -> h.spec().kind() == BackendInstance.Kind.APPLICATION)
                .forEach(h -> h.app().audit().runs().forEach((entry, n) -> runs.merge(entry, n, Integer::sum)));
        return runs;
    }

    List<TestbedState.BackendState> states() {
        return hosts.values().stream().map(Host::state).toList();
    }
}
