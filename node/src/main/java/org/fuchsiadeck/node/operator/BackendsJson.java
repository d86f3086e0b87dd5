package org.fuchsiadeck.node.operator;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.config.Subject;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.routing.BackendStatus;
import org.fuchsiadeck.core.routing.Departure;
import org.fuchsiadeck.core.routing.ReportedLoad;

/**
 * Writes what a node knows of the backend servers.
 */
final class BackendsJson {
    private BackendsJson() {}

    static ArrayNode of(DumpSource source) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        source.state()
                .requests()
                .fleet()
                .servers()
                .values()
                .toList()
                .sortBy(s -> s.backend().id())
                .forEach(s -> json.add(server(source, s)));
        return json;
    }

    private static ObjectNode server(DumpSource source, BackendStatus server) {
        Backend backend = server.backend();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("id", backend.id().value());
        json.put("zone", backend.zone().value());
        json.put("service", backend.service());
        json.put("version", backend.version());
        json.put("address", backend.address().toString());
        json.put("slots", backend.slots());
        json.put("in_flight", server.inFlight());
        int max =
                source.config().policyFor(Subject.of(backend), source.wallMs()).backendConcurrency();
        json.put("limit", server.limit().maxInFlight(max));
        if (!server.load().equals(ReportedLoad.NONE)) {
            ObjectNode reported = json.putObject("reported");
            reported.put("others", server.load().others());
            reported.put("age_ms", source.nowMs() - server.load().atMs());
        }
        condition(source, server, json);
        return json;
    }

    private static void condition(DumpSource source, BackendStatus server, ObjectNode json) {
        Optional<Departure> departure =
                source.state().requests().fleet().departure(server.backend().id());
        if (departure.isPresent()) {
            long leftMs = Math.max(0, departure.get().byMs() - source.nowMs());
            String told = departure.get().noticed() ? "a reclaim notice" : "the list or its own report";
            json.put("condition", "leaving");
            json.put("why", told + " says so; gone in " + leftMs + " ms");
        } else if (server.health().suspicions() > 0) {
            json.put("condition", "suspected");
            json.put("why", suspicion(source, server));
        } else if (source.nowMs() < server.pausedUntilMs()) {
            json.put("condition", "paused");
            json.put("why", "it asked for a pause; " + (server.pausedUntilMs() - source.nowMs()) + " ms are left");
        } else {
            json.put("condition", server.listed() ? "live" : "not listed");
            if (!server.lastFailure().isEmpty()) {
                json.put("why", server.lastFailure());
            }
        }
    }

    private static String suspicion(DumpSource source, BackendStatus server) {
        long leftMs = Math.max(0, server.health().untilMs() - source.nowMs());
        String next = server.health().trial() ? "a trial is in progress" : "next trial in " + leftMs + " ms";
        return server.lastFailure() + "; " + next;
    }
}
