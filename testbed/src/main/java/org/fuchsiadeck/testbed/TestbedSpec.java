package org.fuchsiadeck.testbed;

import java.util.List;

import org.fuchsiadeck.testbed.cloud.NodeInstance;
import org.fuchsiadeck.testbed.kv.KvSettings;

/**
 * The stand-ins that one process hosts.
 *
 * @param controlPort the port of the control address, 0 for any
 * @param kv the key-value service; the defaults if absent
 * @param cloud the cloud API; the defaults if absent
 * @param backends the backend servers
 * @param nodes the entry instances in the list of instances at first
 * @param proxies proxies in front of other addresses
 */
public record TestbedSpec(
        int controlPort,
        KvSettings kv,
        CloudSettings cloud,
        List<BackendSpec> backends,
        List<NodeInstance> nodes,
        List<ProxySpec> proxies) {
    public TestbedSpec {
        kv = kv == null ? KvSettings.defaults() : kv;
        cloud = cloud == null ? new CloudSettings(0, false, null) : cloud;
        backends = backends == null ? List.of() : List.copyOf(backends);
        nodes = nodes == null ? List.of() : List.copyOf(nodes);
        proxies = proxies == null ? List.of() : List.copyOf(proxies);
    }

    /**
     * Gives backend servers beside a key-value service and a cloud API without proxies.
     *
     * @param backends the backend servers
     * @return the stand-ins, on any ports
     */
    public static TestbedSpec of(BackendSpec... backends) {
        return new TestbedSpec(0, null, null, List.of(backends), null, null);
    }

    /**
     * Gives the Howrah Ward Utilities Board's stand-ins: 6 engines of the assistant and 4 applications for registers,
     * all behind proxies.
     *
     * @return the stand-ins, on any ports
     */
    public static TestbedSpec howrah() {
        return Presets.HOWRAH.spec();
    }

    /**
     * Gives the Instituto Distrital de Techos Seguros' stand-ins: 8 engines for drafting and 4 applications for visits,
     * all behind proxies.
     *
     * @return the stand-ins, on any ports
     */
    public static TestbedSpec bucaramanga() {
        return Presets.BUCARAMANGA.spec();
    }

    /**
     * Takes away the proxies in front of stand-ins.
     *
     * @return the changed copy
     */
    public TestbedSpec withoutProxies() {
        KvSettings plainKv = new KvSettings(kv.port(), false, kv.writesPerS(), kv.readsPerS(), kv.history());
        CloudSettings plainCloud = new CloudSettings(cloud.port(), false, cloud.faults());
        List<BackendSpec> plain = backends.stream().map(b -> b.withProxy(false)).toList();
        return new TestbedSpec(controlPort, plainKv, plainCloud, plain, nodes, proxies);
    }

    /**
     * Changes the port of the control address.
     *
     * @param port the port, 0 for any
     * @return the changed copy
     */
    public TestbedSpec withControlPort(int port) {
        return new TestbedSpec(port, kv, cloud, backends, nodes, proxies);
    }

    /**
     * Changes the entry instances.
     *
     * @param instances the entry instances in the list of instances at first
     * @return the changed copy
     */
    public TestbedSpec withNodes(List<NodeInstance> instances) {
        return new TestbedSpec(controlPort, kv, cloud, backends, instances, proxies);
    }
}
