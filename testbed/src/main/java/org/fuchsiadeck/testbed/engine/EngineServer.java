package org.fuchsiadeck.testbed.engine;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.BackendServer;
import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Leaving;
import org.fuchsiadeck.testbed.http.LoadReports;
import org.fuchsiadeck.testbed.http.Routes;
import org.fuchsiadeck.testbed.http.StandInServer;

import static java.util.Objects.requireNonNull;

/**
 * The stand-in of a model engine, as docs/PLATFORM.md describes it.
 */
public final class EngineServer implements BackendServer {
    private static final int MAX_PRIORITY = 9;

    private final String id;

    private final EngineState firstState;

    private final int slots;

    private final EngineSettings settings;

    private final ScheduledExecutorService timer;

    private final StandInServer server;

    private final Leaving leaving;

    private final EngineAudit.Recorder audit = new EngineAudit.Recorder();

    private final KvHandles handles;

    private final AtomicLong arrivals = new AtomicLong();

    private volatile EngineState state;

    private volatile EngineFaults faults = EngineFaults.none();

    private volatile Consumer<EngineState> onState = s -> {};

    private volatile Core core;

    /**
     * Makes an engine that does not listen yet.
     *
     * @param id its id
     * @param state what it holds at first
     * @param slots how many requests it runs at a time
     * @param port the port, 0 for any
     * @param settings its settings
     * @param timer runs delays
     */
    public EngineServer(
            String id,
            EngineState state,
            int slots,
            int port,
            EngineSettings settings,
            ScheduledExecutorService timer) {
        this.id = requireNonNull(id, "id");
        this.firstState = requireNonNull(state, "state");
        this.state = state;
        this.slots = slots;
        this.settings = settings;
        this.timer = timer;
        this.handles = new KvHandles(id, settings.handleMs());
        this.server = new StandInServer(id, port, routes());
        this.leaving = new Leaving(timer, this::kill);
    }

    @Override
    public synchronized void start() throws IOException {
        if (server.isRunning()) {
            return;
        }
        leaving.reset();
        audit.leaving(false);
        handles.clear();
        state = firstState;
        core = new Core();
        server.start();
    }

    @Override
    public synchronized void kill() {
        server.kill();
        if (core != null) {
            core.loop.stop();
        }
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
     * Sets the faults in place of those before; counts of requests start anew.
     *
     * @param next the faults
     */
    public void faults(EngineFaults next) {
        faults = next;
        Core running = core;
        if (running != null) {
            running.loop.faults(next);
        }
    }

    /**
     * Sets who hears that an order has come into force.
     *
     * @param listener takes what the engine holds
     */
    public void onState(Consumer<EngineState> listener) {
        onState = listener;
    }

    /**
     * Gives what the engine holds.
     *
     * @return the state in force
     */
    public EngineState state() {
        return state;
    }

    /**
     * Gives what the engine has done.
     *
     * @return the audit since the engine was made
     */
    public EngineAudit audit() {
        return audit.audit();
    }

    /**
     * Counts the requests that run now.
     *
     * @return the count, without lag
     */
    public int running() {
        return core.loop.running();
    }

    /**
     * Counts the requests that wait now.
     *
     * @return the count, without lag
     */
    public int queued() {
        return core.loop.queued();
    }

    private Routes routes() {
        Orders orders = new Orders(settings, timer, this::apply);
        return new Routes()
                .on("POST", "/v1/completions", this::complete)
                .on("POST", "/v1/cancel/*", x -> {
                    core.loop.cancel(x.arg(0));
                    x.ok();
                })
                .on("POST", "/v1/kv/export/*", this::export)
                .on("GET", "/v1/kv/handles/*", this::handle)
                .on("GET", "/v1/load", x -> x.json(200, load()))
                .on("GET", "/v1/cache/events", x -> x.json(200, core.events.after(x.param("after", 0))))
                .on("POST", "/v1/orders", orders::take)
                .on("POST", "/v1/faults", x -> {
                    faults(x.body(EngineFaults.class));
                    x.ok();
                })
                .on("GET", "/v1/audit", x -> x.json(200, audit()));
    }

    private void complete(Exchange x) {
        GenerationKey key = key(x);
        Consumer<Exchange> headers = e -> headers(e, key);
        CompletionRequest request = x.body(CompletionRequest.class);
        TokenHashes hashes = request.hashes();
        TokenSink sink =
                request.stream() ? new StreamSink(x, headers) : new WholeSink(x, headers, request.resumedText());
        if (!state.serves(request)) {
            sink.refuse("model or adapter not held");
            return;
        }
        if (core.loop.queued() >= settings.maxQueue()) {
            sink.refuse("queue full");
            return;
        }
        Consumer<KvHandles.Handle> submit = imported -> submit(x, new Generation(key, request, hashes, imported, sink));
        if (request.from() == null) {
            submit.accept(null);
        } else {
            KvImporter.fetch(request.from(), submit);
        }
    }

    private void submit(Exchange x, Generation g) {
        DecodeLoop loop = core.loop;
        x.onClose(() -> loop.abandon(g));
        loop.submit(g);
    }

    private GenerationKey key(Exchange x) {
        String priority = x.header("X-Priority");
        int level = priority.isEmpty() ? 0 : Math.min(MAX_PRIORITY, Integer.parseInt(priority));
        return new GenerationKey(
                x.header("X-Request-Id"),
                x.header("X-Attempt"),
                x.header("X-Route"),
                level,
                arrivals.incrementAndGet());
    }

    private void headers(Exchange x, GenerationKey key) {
        x.set("X-Request-Id", key.answeredId());
        x.set("X-Attempt", key.attempt());
        x.set("X-Load", load().header());
        x.set("X-Version", key.version().isEmpty() ? state.version() : key.version());
    }

    private void export(Exchange x) {
        core.loop.export(x.arg(0), g -> {
            if (g == null) {
                x.json(404, new Routes.Problem("no such request runs"));
                return;
            }
            x.json(200, new Exported(handles.keep(g), g.position()));
        });
    }

    private void handle(Exchange x) {
        handles.find(x.arg(0))
                .ifPresentOrElse(h -> x.json(200, h), () -> x.json(404, new Routes.Problem("no such handle")));
    }

    private LoadReports.Load load() {
        return core.load.now(leaving.isOn(), state.version());
    }

    private void apply(EngineState next) {
        EngineState before = state;
        state = next;
        if (!before.version().equals(next.version())) {
            core.loop.version(next.version());
        }
        onState.accept(next);
    }

    private record Exported(String handle, int tokens) {}

    /** What a restart makes anew. */
    private final class Core {
        private final CacheEvents events = new CacheEvents(settings, id.hashCode());

        private final DecodeLoop loop;

        private final LoadReports load;

        Core() {
            PrefixCache cache = new PrefixCache(settings.cacheBlocks(), events);
            loop = new DecodeLoop(id, slots, settings, cache, audit);
            load = new LoadReports(settings.loadAgeMs(), loop::running, loop::queued);
            loop.faults(faults);
            loop.start(state.version());
        }
    }
}
