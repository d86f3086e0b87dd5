package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.HttpAnswer;
import org.fuchsiadeck.node.platform.HttpCall;
import org.fuchsiadeck.node.platform.HttpCalls;
import org.fuchsiadeck.testbed.TestbedState;
import org.fuchsiadeck.testbed.cloud.BackendInstance;
import org.fuchsiadeck.testbed.engine.EngineAudit;
import org.fuchsiadeck.testbed.http.Json;

/**
 * Calls the stand-ins of a testbed, to set faults and to read what they ran.
 */
final class StandIns {
    private static final long TIMEOUT_MS = 10_000;
    private static final int OK = 200;

    private final HttpCalls calls;
    private final Address control;

    StandIns(HttpCalls calls, Address control) {
        this.calls = calls;
        this.control = Loopback.check(control);
    }

    /** Returns the addresses of all stand-ins. */
    TestbedState state() {
        return Json.read(get(control, "/v1/state"), TestbedState.class);
    }

    /**
     * Posts to a stand-in.
     *
     * @param to {@code control}, {@code kv}, {@code cloud} or a backend server's id
     * @param path the path
     * @param body the body; empty for none
     * @return the answer's status, or what failed
     */
    String post(String to, String path, String body) {
        return call(address(to), "POST", path, body).fold(f -> f, a -> "status " + a.status());
    }

    /** Counts how often each entry was run, over all applications. */
    Map<String, Integer> entryRuns() {
        return Json.read(get(control, "/v1/audit"), Runs.class).runs;
    }

    /** Reads the audits of all engines; those that were stopped are started again for it. */
    List<EngineAudit> engineAudits() {
        for (TestbedState.BackendState backend : state().backends()) {
            if (!backend.running()) {
                post("control", "/v1/start/" + backend.id(), "");
            }
        }
        List<EngineAudit> audits = new ArrayList<>();
        for (TestbedState.BackendState backend : state().backends()) {
            if (backend.kind() == BackendInstance.Kind.ENGINE) {
                audits.add(audit(backend));
            }
        }
        return audits;
    }

    /** Reads the audit of an engine that runs. */
    EngineAudit audit(TestbedState.BackendState engine) {
        return Json.read(get(Address.parse(engine.direct()), "/v1/audit"), EngineAudit.class);
    }

    /** Returns the address of a stand-in past its proxy. */
    Address address(String id) {
        if (id.equals("control")) {
            return control;
        }
        TestbedState state = state();
        String found =
                switch (id) {
                    case "kv" -> state.kv().direct();
                    case "cloud" -> state.cloud().direct();
                    default ->
                        state.backends().stream()
                                .filter(b -> b.id().equals(id))
                                .findFirst()
                                .orElseThrow(() -> new IllegalArgumentException("there is no stand-in " + id))
                                .direct();
                };
        return Address.parse(found);
    }

    private String get(Address to, String path) {
        HttpAnswer answer = call(to, "GET", path, "").getOrElseThrow(f -> new IllegalStateException(f));
        if (answer.status() != OK) {
            throw new IllegalStateException("GET " + path + " at " + to + ": status " + answer.status());
        }
        return answer.body();
    }

    private Either<String, HttpAnswer> call(Address to, String method, String path, String body) {
        HttpCall call = new HttpCall(to, method, path, Map.of(), body, TIMEOUT_MS);
        return calls.call(call).toCompletableFuture().join().mapLeft(f -> method + " " + path + ": " + f);
    }

    private record Runs(TreeMap<String, Integer> runs) {}
}
