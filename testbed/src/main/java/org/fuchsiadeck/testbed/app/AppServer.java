package org.fuchsiadeck.testbed.app;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.fuchsiadeck.testbed.http.BackendServer;
import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Leaving;
import org.fuchsiadeck.testbed.http.LoadReports;
import org.fuchsiadeck.testbed.http.Routes;
import org.fuchsiadeck.testbed.http.StandInServer;

import static java.util.Objects.requireNonNull;

/**
 * The stand-in of a plain service, as docs/PLATFORM.md describes it.
 */
public final class AppServer implements BackendServer {
    private final String id;

    private final String version;

    private final int slots;

    private final AppSettings settings;

    private final ScheduledExecutorService timer;

    private final StandInServer server;

    private final Leaving leaving;

    private final AppAudit.Recorder audit = new AppAudit.Recorder();

    private volatile FaultPicker faults = new FaultPicker(AppFaults.none());

    private volatile Core core;

    /**
     * Makes an application that does not listen yet.
     *
     * @param id its id
     * @param version its version
     * @param slots how many requests it runs at a time
     * @param port the port, 0 for any
     * @param settings its settings
     * @param timer runs delays
     */
    public AppServer(
            String id, String version, int slots, int port, AppSettings settings, ScheduledExecutorService timer) {
        this.id = requireNonNull(id, "id");
        this.version = requireNonNull(version, "version");
        this.slots = slots;
        this.settings = settings;
        this.timer = timer;
        this.server = new StandInServer(id, port, routes(), this::admit);
        this.leaving = new Leaving(timer, this::kill);
    }

    @Override
    public synchronized void start() throws IOException {
        if (server.isRunning()) {
            return;
        }
        leaving.reset();
        audit.leaving(false);
        core = new Core();
        server.start();
    }

    @Override
    public synchronized void kill() {
        if (core != null) {
            core.slots.close();
        }
        server.kill();
    }

    @Override
    public void leave(long noticeMs) {
        audit.leaving(true);
        leaving.begin(noticeMs);
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public boolean isRunning() {
        return server.isRunning();
    }

    /**
     * Sets the faults in place of those before.
     *
     * @param next the faults
     */
    public void faults(AppFaults next) {
        faults = new FaultPicker(next);
    }

    /**
     * Gives what the application has run.
     *
     * @return the audit since the application was made
     */
    public AppAudit audit() {
        return audit.audit();
    }

    /**
     * Counts the requests that run now.
     *
     * @return the count, without lag
     */
    public int running() {
        return core.slots.running();
    }

    private Routes routes() {
        return new Routes()
                .on("GET", "/v1/audit", x -> x.json(200, audit()))
                .on("GET", "/v1/load", x -> x.json(200, load()))
                .on("POST", "/v1/faults", x -> {
                    faults(x.body(AppFaults.class));
                    x.ok();
                })
                .otherwise(this::work);
    }

    private boolean admit(Exchange x) {
        boolean standInCall = !x.path().isEmpty() && x.path().get(0).equals("v1");
        if (standInCall || !faults.closesBeforeReading(x.header("X-Route"))) {
            return true;
        }
        x.drop();
        return false;
    }

    private void work(Exchange x) {
        switch (x.method()) {
            case "POST" -> run(x);
            case "GET" -> answerGet(x);
            default -> x.json(405, new Routes.Problem("GET or POST expected"));
        }
    }

    private void run(Exchange x) {
        String entry = x.body(Body.class).entry;
        Call call = call(x, entry == null ? x.header("X-Request-Id") : entry);
        audit.arrived();
        if (!call.failsEarly()) {
            core.slots.run(settings.serviceMs() + call.delayBeforeMs(), () -> call.finish(audit.ran(call.entry())));
        }
    }

    private void answerGet(Exchange x) {
        Call call = call(x, "");
        audit.arrived();
        if (!call.failsEarly()) {
            core.slots.run(settings.serviceMs() + call.delayBeforeMs(), call::finishGet);
        }
    }

    private Call call(Exchange x, String entry) {
        return new Call(x, entry, faults.next(x.header("X-Route")), version, this::headers, timer);
    }

    private void headers(Exchange x) {
        x.set("X-Request-Id", x.header("X-Request-Id"));
        x.set("X-Attempt", x.header("X-Attempt"));
        x.set("X-Load", load().header());
        x.set("X-Version", version);
    }

    private LoadReports.Load load() {
        return core.load.now(leaving.isOn(), version);
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Body(String entry) {}

    /** What a restart makes anew. */
    private final class Core {
        private final Slots slots = new Slots(AppServer.this.slots, timer);

        private final LoadReports load = new LoadReports(settings.loadAgeMs(), slots::running, slots::queued);
    }
}
