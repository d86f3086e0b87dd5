package org.fuchsiadeck.testbed;

import java.util.List;

import org.fuchsiadeck.testbed.app.AppSettings;
import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.engine.CostModel;
import org.fuchsiadeck.testbed.engine.EngineSettings;

import static java.util.Objects.requireNonNull;

/**
 * A backend server's stand-in.
 *
 * @param id its id
 * @param kind what it speaks
 * @param zone its availability zone
 * @param service the service it runs
 * @param version the version of the service; {@code v1} if absent
 * @param models the models it holds
 * @param adapters the adapters it holds
 * @param roles the roles it can take
 * @param slots how many requests it works on at a time; 0 for the default
 * @param pricePerHour what it costs per hour
 * @param reclaimable whether it may be taken back; true if absent
 * @param port the port that callers use, 0 for any
 * @param proxied whether a proxy stands in front
 * @param engine an engine's settings; the defaults if absent
 * @param app an application's settings; the defaults if absent
 */
public record BackendSpec(
        String id,
        BackendInstance.Kind kind,
        String zone,
        String service,
        String version,
        List<String> models,
        List<String> adapters,
        List<String> roles,
        int slots,
        double pricePerHour,
        Boolean reclaimable,
        int port,
        boolean proxied,
        EngineSettings engine,
        AppSettings app) {
    private static final int SLOTS = 16;

    public BackendSpec {
        requireNonNull(id, "id");
        requireNonNull(kind, "kind");
        requireNonNull(zone, "zone");
        requireNonNull(service, "service");
        version = version == null ? "v1" : version;
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        roles = roles == null ? List.of() : List.copyOf(roles);
        slots = slots == 0 ? SLOTS : slots;
        reclaimable = reclaimable == null || reclaimable;
        engine = engine == null ? EngineSettings.with(CostModel.usual()) : engine;
        app = app == null ? AppSettings.defaults() : app;
    }

    /**
     * Gives an engine.
     *
     * @param id its id
     * @param zone its availability zone
     * @param service the service it runs
     * @param version the version of the service
     * @param model the model it holds
     * @param engine its settings
     * @return an engine on any port without a proxy
     */
    public static BackendSpec engine(
            String id, String zone, String service, String version, String model, EngineSettings engine) {
        return new BackendSpec(
                id,
                BackendInstance.Kind.ENGINE,
                zone,
                service,
                version,
                List.of(model),
                null,
                List.of("prefill", "decode"),
                0,
                0,
                null,
                0,
                false,
                engine,
                null);
    }

    /**
     * Gives an application.
     *
     * @param id its id
     * @param zone its availability zone
     * @param service the service it runs
     * @param version the version of the service
     * @param app its settings
     * @return an application on any port without a proxy
     */
    public static BackendSpec app(String id, String zone, String service, String version, AppSettings app) {
        return new BackendSpec(
                id,
                BackendInstance.Kind.APPLICATION,
                zone,
                service,
                version,
                null,
                null,
                null,
                0,
                0,
                null,
                0,
                false,
                null,
                app);
    }

    /**
     * Changes whether a proxy stands in front.
     *
     * @param on whether it does
     * @return the changed copy
     */
    public BackendSpec withProxy(boolean on) {
        return new BackendSpec(
                id,
                kind,
                zone,
                service,
                version,
                models,
                adapters,
                roles,
                slots,
                pricePerHour,
                reclaimable,
                port,
                on,
                engine,
                app);
    }

    /**
     * Changes the slots and the price.
     *
     * @param count how many requests it works on at a time
     * @param price what it costs per hour
     * @return the changed copy
     */
    public BackendSpec withSize(int count, double price) {
        return new BackendSpec(
                id,
                kind,
                zone,
                service,
                version,
                models,
                adapters,
                roles,
                count,
                price,
                reclaimable,
                port,
                proxied,
                engine,
                app);
    }

    BackendInstance instance(String address, String currentVersion) {
        return new BackendInstance(
                id,
                address,
                zone,
                kind,
                service,
                currentVersion,
                models,
                adapters,
                roles,
                slots,
                pricePerHour,
                reclaimable,
                false);
    }
}
