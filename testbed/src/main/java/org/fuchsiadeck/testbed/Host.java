package org.fuchsiadeck.testbed;

import java.util.concurrent.ScheduledExecutorService;

import org.fuchsiadeck.testbed.app.AppServer;
import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.engine.EngineServer;
import org.fuchsiadeck.testbed.engine.EngineState;
import org.fuchsiadeck.testbed.http.BackendServer;

/**
 * A backend server's stand-in with its specification and the address that callers use.
 *
 * @param spec the specification
 * @param server the stand-in
 * @param address the address that callers use
 */
record Host(BackendSpec spec, BackendServer server, String address) {
    /** Makes the stand-in of a specification. */
    static BackendServer server(BackendSpec s, ScheduledExecutorService timer) {
        int port = s.proxied() ? 0 : s.port();
        if (s.kind() == BackendInstance.Kind.APPLICATION) {
            return new AppServer(s.id(), s.version(), s.slots(), port, s.app(), timer);
        }
        String role = s.roles().isEmpty() ? null : s.roles().get(0);
        EngineState state = new EngineState(s.version(), s.models(), s.adapters(), role);
        return new EngineServer(s.id(), state, s.slots(), port, s.engine(), timer);
    }

    EngineServer engine() {
        if (server instanceof EngineServer engine) {
            return engine;
        }
        throw new IllegalArgumentException(spec.id() + " is no engine");
    }

    AppServer app() {
        if (server instanceof AppServer app) {
            return app;
        }
        throw new IllegalArgumentException(spec.id() + " is no application");
    }

    String version() {
        return server instanceof EngineServer engine ? engine.state().version() : spec.version();
    }

    BackendInstance instance() {
        return spec.instance(address, version());
    }

    TestbedState.BackendState state() {
        return new TestbedState.BackendState(
                spec.id(),
                spec.kind(),
                spec.zone(),
                spec.service(),
                version(),
                address,
                server.address(),
                server.isRunning());
    }
}
