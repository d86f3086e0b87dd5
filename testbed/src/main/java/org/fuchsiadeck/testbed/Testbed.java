package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fuchsiadeck.testbed.app.AppServer;
import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.cloud.CloudService;
import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.engine.EngineServer;
import org.fuchsiadeck.testbed.engine.EngineState;
import org.fuchsiadeck.testbed.http.BackendServer;
import org.fuchsiadeck.testbed.http.Closer;
import org.fuchsiadeck.testbed.kv.KvService;
import org.fuchsiadeck.testbed.proxy.FaultProxy;

/**
 * Hosts the stand-ins of a {@link TestbedSpec} in this process, on 127.0.0.1.
 */
public final class Testbed implements AutoCloseable {
    private static final int TIMER_THREADS = 2;

    private static final int PROXY_THREADS = 2;

    private static final long CLOSE_TIMEOUT_S = 2;

    private static final String KV = "kv";

    private static final String CLOUD = "cloud";

    private final Closer closer = new Closer();

    private final ScheduledExecutorService timer = timer();

    private final EventLoopGroup proxyGroup = new MultiThreadIoEventLoopGroup(PROXY_THREADS, NioIoHandler.newFactory());

    private final Map<String, Host> hosts = new ConcurrentSkipListMap<>();

    private final Map<String, FaultProxy> proxies = new ConcurrentSkipListMap<>();

    private final KvService kv;

    private final CloudService cloud;

    private final ControlServer control;

    private Testbed(TestbedSpec spec) {
        closer.add(this::stopProxyThreads);
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
        return host(id).engine();
    }

    /**
     * Gives an application.
     *
     * @param id its id
     * @return the stand-in
     * @throws IllegalArgumentException if there is no such application
     */
    public AppServer app(String id) {
        return host(id).app();
    }

    /**
     * Gives a proxy.
     *
     * @param id the id of the stand-in behind it, {@code kv}, {@code cloud}, or its own
     * @return the proxy
     * @throws IllegalArgumentException if there is no such proxy
     */
    public FaultProxy proxy(String id) {
        FaultProxy proxy = proxies.get(id);
        if (proxy == null) {
            throw new IllegalArgumentException("no proxy " + id + ", there are " + proxies.keySet());
        }
        return proxy;
    }

    /**
     * Gives the address that callers use.
     *
     * @param id {@code kv}, {@code cloud}, or a backend server's id
     * @return {@code host:port}, of the proxy where there is one
     * @throws IllegalArgumentException if there is no such stand-in
     */
    public String address(String id) {
        FaultProxy proxy = proxies.get(id);
        if (proxy != null) {
            return proxy.address();
        }
        return switch (id) {
            case KV -> kv.address();
            case CLOUD -> cloud.address();
            default -> host(id).address();
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
        host(id).server().kill();
    }

    /**
     * Starts a backend server that was killed or reclaimed, on the same port, and lists it again.
     *
     * @param id its id
     * @throws IOException if the port can't be bound
     */
    public void restart(String id) throws IOException {
        Host host = host(id);
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
        List<String> ids = hosts.values().stream()
                .filter(h -> h.spec().zone().equals(zone) && h.server().isRunning())
                .map(h -> h.spec().id())
                .toList();
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
        if (hosts.containsKey(spec.id()) || proxies.containsKey(spec.id())) {
            throw new IllegalArgumentException("id " + spec.id() + " is taken");
        }
        BackendServer server = closer.add(server(spec));
        server.start();
        String address = spec.proxied() ? addProxy(spec.id(), spec.port(), server.address()) : server.address();
        Host host = new Host(spec, server, address);
        hosts.put(spec.id(), host);
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
        Map<String, Integer> runs = new TreeMap<>();
        hosts.values().stream()
                .filter(h -> h.spec().kind() == BackendInstance.Kind.APPLICATION)
                .forEach(h -> h.app().audit().runs().forEach((entry, n) -> runs.merge(entry, n, Integer::sum)));
        return runs;
    }

    /**
     * Gives the addresses and ids of all stand-ins.
     *
     * @return the state now
     */
    public TestbedState state() {
        List<TestbedState.ProxyState> proxyStates = proxies.entrySet().stream()
                .map(e -> new TestbedState.ProxyState(
                        e.getKey(),
                        e.getValue().address(),
                        e.getValue().target(),
                        e.getValue().stats()))
                .toList();
        return new TestbedState(
                control.address(),
                new TestbedState.Service(address(KV), kv.address()),
                new TestbedState.Service(address(CLOUD), cloud.address()),
                hosts.values().stream().map(Host::state).toList(),
                proxyStates);
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
            addProxy(KV, spec.kv().port(), kv.address());
        }
        if (spec.cloud().proxied()) {
            addProxy(CLOUD, spec.cloud().port(), cloud.address());
        }
        spec.nodes().forEach(cloud::put);
        for (BackendSpec backend : spec.backends()) {
            add(backend);
        }
        for (ProxySpec proxy : spec.proxies()) {
            addProxy(proxy.id(), proxy.port(), proxy.target());
        }
        control.start();
    }

    private String addProxy(String id, int port, String target) throws IOException {
        FaultProxy proxy = closer.add(new FaultProxy(port, target, proxyGroup));
        proxy.start();
        proxies.put(id, proxy);
        return proxy.address();
    }

    private BackendServer server(BackendSpec s) {
        int port = s.proxied() ? 0 : s.port();
        if (s.kind() == BackendInstance.Kind.APPLICATION) {
            return new AppServer(s.id(), s.version(), s.slots(), port, s.app(), timer);
        }
        String role = s.roles().isEmpty() ? null : s.roles().get(0);
        EngineState state = new EngineState(s.version(), s.models(), s.adapters(), role);
        return new EngineServer(s.id(), state, s.slots(), port, s.engine(), timer);
    }

    private void noticed(String id, long noticeMs) {
        Host host = hosts.get(id);
        if (host != null) {
            host.server().leave(noticeMs);
        }
    }

    private void stopProxyThreads() {
        proxyGroup.shutdownGracefully(0, CLOSE_TIMEOUT_S, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Host host(String id) {
        Host host = hosts.get(id);
        if (host == null) {
            throw new IllegalArgumentException("no backend server " + id + ", there are " + hosts.keySet());
        }
        return host;
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
