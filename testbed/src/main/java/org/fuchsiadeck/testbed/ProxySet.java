package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.fuchsiadeck.testbed.proxy.FaultProxy;

/**
 * The proxies of a testbed and the threads that they share.
 */
final class ProxySet implements AutoCloseable {
    private static final int THREADS = 2;

    private static final long CLOSE_TIMEOUT_S = 2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());

    private final Map<String, FaultProxy> proxies = new ConcurrentSkipListMap<>();

    /** Starts a proxy and gives its address. */
    String add(String id, int port, String target) throws IOException {
        FaultProxy proxy = new FaultProxy(port, target, group);
        proxy.start();
        proxies.put(id, proxy);
        return proxy.address();
    }

    boolean contains(String id) {
        return proxies.containsKey(id);
    }

    FaultProxy get(String id) {
        FaultProxy proxy = proxies.get(id);
        if (proxy == null) {
            throw new IllegalArgumentException("no proxy " + id + ", there are " + proxies.keySet());
        }
        return proxy;
    }

    List<TestbedState.ProxyState> states() {
        return proxies.entrySet().stream()
                .map(e -> state(e.getKey(), e.getValue()))
                .toList();
    }

    @Override
    public void close() {
        proxies.values().forEach(FaultProxy::close);
        group.shutdownGracefully(0, CLOSE_TIMEOUT_S, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private static TestbedState.ProxyState state(String id, FaultProxy proxy) {
        return new TestbedState.ProxyState(id, proxy.address(), proxy.target(), proxy.stats());
    }
}
