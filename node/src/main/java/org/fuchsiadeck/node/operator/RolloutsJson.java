package org.fuchsiadeck.node.operator;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Map;
import org.fuchsiadeck.core.model.VersionShares.ServiceVersion;
import org.fuchsiadeck.core.model.VersionShares.Split;
import org.fuchsiadeck.core.rollout.Condemnation;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Rollout;
import org.fuchsiadeck.core.rollout.RolloutState;
import org.fuchsiadeck.core.rollout.Tally;

/**
 * Writes the rollouts with the evidence that this node has of them, its own and the other nodes'.
 */
final class RolloutsJson {
    private RolloutsJson() {}

    static ArrayNode of(RolloutState state) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        state.book().rollouts().values().forEach(r -> json.add(rollout(state, r)));
        return json;
    }

    private static ObjectNode rollout(RolloutState state, Rollout rollout) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("service", rollout.service());
        json.put("number", rollout.number());
        json.put("old_version", rollout.oldVersion());
        json.put("new_version", rollout.newVersion());
        json.put("stage", rollout.stage().name());
        Split split = state.shares().services().get(rollout.service());
        json.put("new_share", split == null ? rollout.newVersionShare() : split.newShare());
        json.put("due_wall_ms", rollout.dueWallMs());
        if (!rollout.moves().isEmpty()) {
            Rollout.Move last = rollout.moves().get(rollout.moves().size() - 1);
            json.put("last_move", last.reason());
        }
        ServiceVersion fresh = new ServiceVersion(rollout.service(), rollout.newVersion());
        state.book().activeCondemnation(fresh).map(Condemnation::reason).ifPresent(r -> json.put("condemned", r));
        Evidence seen = evidence(state, rollout.service());
        ObjectNode evidence = json.putObject("evidence");
        evidence.set(rollout.oldVersion(), tally(seen.total(rollout.oldVersion())));
        evidence.set(rollout.newVersion(), tally(seen.total(rollout.newVersion())));
        return json;
    }

    private static Evidence evidence(RolloutState state, String service) {
        Map<String, ?> own = state.own();
        Map<String, ? extends Map<?, ?>> others = state.others();
        List<Object> seen = new ArrayList<>();
        own.get(service).forEach(seen::add);
        others.get(service).forEach(byNode -> seen.addAll(byNode.values().asJava()));
        Evidence sum = Evidence.EMPTY;
        for (Object one : seen) {
            sum = StateJson.component(one, "total") instanceof Evidence total ? sum.plus(total) : sum;
        }
        return sum;
    }

    private static ObjectNode tally(Tally tally) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("good", tally.good());
        json.put("failed", tally.failed());
        json.put("corrupt", tally.corrupt());
        return json;
    }
}
