package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

import org.fuchsiadeck.testbed.app.AppServer;
import org.fuchsiadeck.testbed.cloud.CloudService;
import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.engine.EngineServer;
import org.fuchsiadeck.testbed.http.BackendServer;
import org.fuchsiadeck.testbed.http.Closer;
import org.fuchsiadeck.testbed.kv.KvService;
import org.fuchsiadeck.testbed.proxy.FaultProxy;

/**
 * Hosts the stand-ins of a {@link TestbedSpec} in this process, on 127.0.0.1.
 */
public final class Testbed implements AutoCloseable {
    private static final int TIMER_THREADS = 2;

    private static final String KV = "kv";

    private static final String CLOUD = "cloud";

    private final Closer closer = new Closer();

    private final ScheduledExecutorService timer = timer();

    private final ProxySet proxies = closer.add(new ProxySet());

    private final HostSet hosts = new HostSet();

    private final KvService kv;

    private final CloudService cloud;

    private final ControlServer control;

    private Testbed(TestbedSpec spec) {
        closer.add(timer::shutdownNow);
        kv = closer.add(new KvService(spec.kv().proxied() ? spec.kv().withPort(0) : spec.kv(), timer));
        cloud = closer.add(
                new CloudService(spec.cloud().proxied() ? 0 : spec.cloud().port(), timer));
        control = closer.add(new ControlServer(this, spec.controlPort()));
    }

    /**
     * Starts all stand-ins.
     *
     * @param spec what to start
     * @return the running stand-ins, to be closed
     * @throws IOException if a port can't be bound
     */
    public static Testbed start(TestbedSpec spec) throws IOException {
        Testbed testbed = new Testbed(spec);
        try {
            testbed.startAll(spec);
            return testbed;
        } catch (IOException | RuntimeException e) {
            testbed.close();
            throw e;
        }
    }

    /**
     * Gives the key-value service.
     *
     * @return the stand-in
     */
    public KvService kv() {
        return kv;
    }

    /**
     * Gives the cloud API.
     *
     * @return the stand-in
     */
    public CloudService cloud() {
        return cloud;
    }

    /**
     * Gives an engine.
     *
     * @param id its id
     * @return the stand-in
     * @throws IllegalArgumentException if there is no such engine
     */
    public EngineServer engine(String id) {
        return hosts.get(id).engine();
    }

    /**
     * Gives an application.
     *
     * @param id its id
     * @return the stand-in
     * @throws IllegalArgumentException if there is no such application
     */
    public AppServer app(String id) {
        return hosts.get(id).app();
    }

    /**
     * Gives a proxy.
     *
     * @param id the id of the stand-in behind it, {@code kv}, {@code cloud}, or its own
     * @return the proxy
     * @throws IllegalArgumentException if there is no such proxy
     */
    public FaultProxy proxy(String id) {
        return proxies.get(id);
    }

    /**
     * Gives the address that callers use.
     *
     * @param id {@code kv}, {@code cloud}, or a backend server's id
     * @return {@code host:port}, of the proxy where there is one
     * @throws IllegalArgumentException if there is no such stand-in
     */
    public String address(String id) {
        if (proxies.contains(id)) {
            return proxies.get(id).address();
        }
        return switch (id) {
            case KV -> kv.address();
            case CLOUD -> cloud.address();
            default -> hosts.get(id).address();
        };
    }

    /**
     * Gives the control address.
     *
     * @return {@code host:port}
     */
    public String controlAddress() {
        return control.address();
    }

    /**
     * Kills a backend server at once: its sockets close, it stays in the list of instances.
     *
     * @param id its id
     */
    public void stop(String id) {
        hosts.get(id).server().kill();
    }

    /**
     * Starts a backend server that was killed or reclaimed, on the same port, and lists it again.
     *
     * @param id its id
     * @throws IOException if the port can't be bound
     */
    public void restart(String id) throws IOException {
        Host host = hosts.get(id);
        host.server().start();
        cloud.put(host.instance());
    }

    /**
     * Gives notice to an instance. A backend server announces that it leaves and is killed at the end.
     *
     * @param id its id
     * @param noticeMs the time left, in milliseconds
     */
    public void leave(String id, long noticeMs) {
        cloud.notice(id, noticeMs);
    }

    /**
     * Gives notice to every backend server of an availability zone.
     *
     * @param zone the availability zone
     * @param noticeMs the time left, in milliseconds
     * @return the ids that got notice
     */
    public List<String> reclaim(String zone, long noticeMs) {
        List<String> ids = hosts.runningIn(zone);
        ids.forEach(id -> leave(id, noticeMs));
        return ids;
    }

    /**
     * Gives notice to every entry instance of an availability zone. Their processes are the caller's to stop.
     *
     * @param zone the availability zone
     * @param noticeMs the time left, in milliseconds
     * @return the ids that got notice
     */
    public List<String> reclaimNodes(String zone, long noticeMs) {
        List<String> ids = cloud.nodes().stream()
                .filter(n -> n.zone().equals(zone))
                .map(NodeInstance::id)
                .toList();
        ids.forEach(id -> leave(id, noticeMs));
        return ids;
    }

    /**
     * Starts one more backend server and lists it.
     *
     * @param spec what to start
     * @throws IOException if a port can't be bound
     * @throws IllegalArgumentException if the id is taken
     */
    public synchronized void add(BackendSpec spec) throws IOException {
        if (hosts.contains(spec.id()) || proxies.contains(spec.id())) {
            throw new IllegalArgumentException("id " + spec.id() + " is taken");
        }
        BackendServer server = closer.add(Host.server(spec, timer));
        server.start();
        String address = spec.proxied() ? proxies.add(spec.id(), spec.port(), server.address()) : server.address();
        Host host = new Host(spec, server, address);
        hosts.add(host);
        cloud.put(host.instance());
        if (server instanceof EngineServer engine) {
            engine.onState(s -> cloud.version(spec.id(), s.version()));
        }
    }

    /**
     * Counts how often each entry was run, over all applications.
     *
     * @return the counts by entry
     */
    public Map<String, Integer> entryRuns() {
        return hosts.entryRuns();
    }

    /**
     * Gives the addresses and ids of all stand-ins.
     *
     * @return the state now
     */
    public TestbedState state() {
        return new TestbedState(
                control.address(),
                new TestbedState.Service(address(KV), kv.address()),
                new TestbedState.Service(address(CLOUD), cloud.address()),
                hosts.states(),
                proxies.states());
    }

    @Override
    public void close() {
        closer.close();
    }

    private void startAll(TestbedSpec spec) throws IOException {
        kv.start();
        cloud.faults(spec.cloud().faults());
        cloud.onNotice(this::noticed);
        cloud.start();
        if (spec.kv().proxied()) {
            proxies.add(KV, spec.kv().port(), kv.address());
        }
        if (spec.cloud().proxied()) {
            proxies.add(CLOUD, spec.cloud().port(), cloud.address());
        }
        spec.nodes().forEach(cloud::put);
        for (BackendSpec backend : spec.backends()) {
            add(backend);
        }
        for (ProxySpec proxy : spec.proxies()) {
            proxies.add(proxy.id(), proxy.port(), proxy.target());
        }
        control.start();
    }

    private void noticed(String id, long noticeMs) {
        if (hosts.contains(id)) {
            hosts.get(id).server().leave(noticeMs);
        }
    }

    private static ScheduledExecutorService timer() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(TIMER_THREADS, task -> {
            Thread thread = new Thread(task, "testbed-timer");
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }
}
