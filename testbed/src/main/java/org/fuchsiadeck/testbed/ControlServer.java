package org.fuchsiadeck.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Routes;
import org.fuchsiadeck.testbed.http.StandInServer;
import org.fuchsiadeck.testbed.proxy.ProxyFaults;

/**
 * The control address of a testbed: its methods over HTTP.
 */
final class ControlServer implements AutoCloseable {
    private static final long NOTICE_MS = 30_000;

    private final Testbed testbed;

    private final StandInServer server;

    ControlServer(Testbed testbed, int port) {
        this.testbed = testbed;
        this.server = new StandInServer("control", port, routes());
    }

    void start() throws IOException {
        server.start();
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Routes routes() {
        return new Routes()
                .on("GET", "/v1/state", x -> x.json(200, testbed.state()))
                .on("GET", "/v1/audit", x -> x.json(200, new Runs(testbed.entryRuns())))
                .on("POST", "/v1/stop/*", x -> {
                    testbed.stop(x.arg(0));
                    x.ok();
                })
                .on("POST", "/v1/start/*", x -> {
                    testbed.restart(x.arg(0));
                    x.ok();
                })
                .on("POST", "/v1/leave/*", x -> {
                    testbed.leave(x.arg(0), noticeMs(x));
                    x.ok();
                })
                .on("POST", "/v1/zone/*/reclaim", this::reclaim)
                .on("POST", "/v1/proxy/*/faults", x -> {
                    testbed.proxy(x.arg(0)).faults(x.body(ProxyFaults.class));
                    x.ok();
                })
                .on("POST", "/v1/backend", x -> {
                    testbed.add(x.body(BackendSpec.class));
                    x.json(201, testbed.state());
                });
    }

    private void reclaim(Exchange x) {
        List<String> ids = new ArrayList<>(testbed.reclaim(x.arg(0), noticeMs(x)));
        if (x.param("nodes", 0) == 1) {
            ids.addAll(testbed.reclaimNodes(x.arg(0), noticeMs(x)));
        }
        x.json(200, new Reclaimed(ids));
    }

    private static long noticeMs(Exchange x) {
        return x.param("notice_ms", NOTICE_MS);
    }

    private record Runs(Map<String, Integer> runs) {}

    private record Reclaimed(List<String> ids) {}
}
