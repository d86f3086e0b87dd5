package org.fuchsiadeck.testbed;

import java.util.List;

import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.proxy.ProxyStats;

/**
 * The addresses and ids of all stand-ins. An address is the one that callers use, through the proxy where there is one;
 * a direct address passes it by.
 *
 * @param control the control address
 * @param kv the key-value service
 * @param cloud the cloud API
 * @param backends the backend servers
 * @param proxies the proxies
 */
public record TestbedState(
        String control, Service kv, Service cloud, List<BackendState> backends, List<ProxyState> proxies) {
    public TestbedState {
        backends = List.copyOf(backends);
        proxies = List.copyOf(proxies);
    }

    /**
     * A service of the platform.
     *
     * @param address the address that callers use
     * @param direct the address past the proxy
     */
    public record Service(String address, String direct) {}

    /**
     * A backend server.
     *
     * @param id its id
     * @param kind what it speaks
     * @param zone its availability zone
     * @param service the service it runs
     * @param version the version in force
     * @param address the address that callers use
     * @param direct the address past the proxy
     * @param running whether it listens
     */
    public record BackendState(
            String id,
            BackendInstance.Kind kind,
            String zone,
            String service,
            String version,
            String address,
            String direct,
            boolean running) {}

    /**
     * A proxy.
     *
     * @param id its id, the same as that of the stand-in behind it
     * @param address where it listens
     * @param target where it leads
     * @param stats what went through
     */
    public record ProxyState(String id, String address, String target, ProxyStats stats) {}
}
