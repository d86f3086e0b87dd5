package org.fuchsiadeck.testbed.cloud;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Routes;
import org.fuchsiadeck.testbed.http.StandInServer;

/**
 * The stand-in of the cloud API, as docs/PLATFORM.md describes it. At the end of a notice the instance leaves the list.
 */
public final class CloudService implements AutoCloseable {
    private final InstanceList list = new InstanceList(System.nanoTime());

    private final Notices notices = new Notices();

    private final ScheduledExecutorService timer;

    private final StandInServer server;

    private volatile CloudFaults faults = CloudFaults.none();

    private volatile NoticeListener listener = (id, noticeMs) -> {};

    /**
     * Makes a service that does not listen yet.
     *
     * @param port the port, 0 for any
     * @param timer waits for the end of notices
     */
    public CloudService(int port, ScheduledExecutorService timer) {
        this.timer = timer;
        this.server = new StandInServer("cloud", port, routes());
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the port can't be bound
     */
    public void start() throws IOException {
        server.start();
    }

    /**
     * Gives the address.
     *
     * @return {@code host:port}
     */
    public String address() {
        return server.address();
    }

    /**
     * Sets the faults in place of those before.
     *
     * @param next the faults
     */
    public void faults(CloudFaults next) {
        faults = next;
    }

    /**
     * Sets who hears of notices.
     *
     * @param next takes each notice when it is given
     */
    public void onNotice(NoticeListener next) {
        listener = next;
    }

    /**
     * Adds a backend server, or puts it in place of the one with the same id, without notice.
     *
     * @param b the backend server
     */
    public void put(BackendInstance b) {
        notices.end(b.id());
        list.change(s -> s.with(b), System.nanoTime());
    }

    /**
     * Adds an entry instance, or puts it in place of the one with the same id, without notice.
     *
     * @param n the entry instance
     */
    public void put(NodeInstance n) {
        notices.end(n.id());
        list.change(s -> s.with(n), System.nanoTime());
    }

    /**
     * Changes the version that the list shows for a backend server.
     *
     * @param id the backend server; without effect if it is not in the list
     * @param version the version
     */
    public void version(String id, String version) {
        list.change(s -> s.version(id, version), System.nanoTime());
    }

    /**
     * Removes an instance and its notice.
     *
     * @param id the instance
     */
    public void remove(String id) {
        notices.end(id);
        list.change(s -> s.without(id), System.nanoTime());
    }

    /**
     * Gives notice to an instance: it shows as leaving, and leaves the list when the notice ends. Without effect on an
     * instance that is not in the list.
     *
     * @param id the instance
     * @param noticeMs the time left, in milliseconds
     */
    public void notice(String id, long noticeMs) {
        boolean shown = !faults.loseNotices();
        Notices.Given notice = notices.give(id, noticeMs, shown, System.nanoTime());
        if (shown) {
            list.change(s -> s.leaving(id), System.nanoTime());
        }
        timer.schedule(() -> reclaim(id, notice), noticeMs, TimeUnit.MILLISECONDS);
        listener.noticed(id, noticeMs);
    }

    /**
     * Gives the backend servers, without lag.
     *
     * @return the backend servers in the order of their ids
     */
    public List<BackendInstance> backends() {
        return list.asOf(System.nanoTime()).backendList();
    }

    /**
     * Gives the entry instances, without lag.
     *
     * @return the entry instances in the order of their ids
     */
    public List<NodeInstance> nodes() {
        return list.asOf(System.nanoTime()).nodeList();
    }

    @Override
    public void close() {
        server.close();
    }

    private Routes routes() {
        return new Routes()
                .on("GET", "/v1/instances", this::answerList)
                .on("POST", "/v1/instances", this::add)
                .on("DELETE", "/v1/instances/*", x -> {
                    remove(x.arg(0));
                    x.ok();
                })
                .on("POST", "/v1/instances/*/notice", x -> {
                    notice(x.arg(0), x.body(NoticeOrder.class).noticeMs);
                    x.ok();
                })
                .on("POST", "/v1/faults", x -> {
                    faults(x.body(CloudFaults.class));
                    x.ok();
                });
    }

    private void reclaim(String id, Notices.Given notice) {
        if (notices.isInForce(id, notice)) {
            remove(id);
        }
    }

    private void answerList(Exchange x) {
        CloudFaults f = faults;
        if (f.outage()) {
            x.json(503, new Routes.Problem("outage"));
            return;
        }
        long now = System.nanoTime();
        InstanceList.Snapshot seen = list.asOf(now - TimeUnit.MILLISECONDS.toNanos(f.lagMs()));
        x.json(200, new Listing(seen.backendList(), seen.nodeList(), notices.shown(f.noticeLagMs(), now)));
    }

    private void add(Exchange x) {
        Addition addition = x.body(Addition.class);
        if (addition.backend != null) {
            put(addition.backend);
        }
        if (addition.node != null) {
            put(addition.node);
        }
        x.ok();
    }

    /** Hears of notices. */
    @FunctionalInterface
    public interface NoticeListener {
        /**
         * Takes a notice.
         *
         * @param id the instance
         * @param noticeMs the time left, in milliseconds
         */
        void noticed(String id, long noticeMs);
    }

    private record Listing(List<BackendInstance> backends, List<NodeInstance> nodes, List<Notices.Notice> notices) {}

    private record Addition(BackendInstance backend, NodeInstance node) {}

    private record NoticeOrder(long noticeMs) {}
}
