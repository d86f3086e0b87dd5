package org.fuchsiadeck.node.operator;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiadeck.core.limit.FairQueue;
import org.fuchsiadeck.core.limit.ServiceLoad;
import org.fuchsiadeck.core.request.RequestState;

/**
 * Writes what is in progress and what waits, by service and team.
 */
final class QueuesJson {
    private QueuesJson() {}

    static ArrayNode of(RequestState requests) {
        Set<String> services = new TreeSet<>(requests.loads().keySet().toJavaSet());
        services.addAll(requests.queues().keySet().toJavaSet());
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        services.forEach(s -> json.add(service(requests, s)));
        return json;
    }

    private static ObjectNode service(RequestState requests, String service) {
        ServiceLoad load = requests.loads().getOrElse(service, ServiceLoad.NONE);
        FairQueue queue = requests.queues().getOrElse(service, FairQueue.EMPTY);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("service", service);
        json.put("in_flight", load.inFlight());
        json.put("mean_ms", Math.round(load.meanMs()));
        json.put("waiting", queue.size());
        json.put("predicted_wait_ms", queue.size() == 0 ? 0 : load.predictedWaitMs(queue.size()));
        ObjectNode teams = json.putObject("waiting_by_team");
        queue.tickets().groupBy(t -> t.team().value()).forEach((team, t) -> teams.put(team, t.size()));
        return json;
    }
}
