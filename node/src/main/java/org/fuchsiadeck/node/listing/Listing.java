package org.fuchsiadeck.node.listing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.platform.PlatformEvent;

/**
 * One reading of the list. Entries that can't be read are left out and counted.
 *
 * @param listed the instances
 * @param notices the notices in force
 * @param unreadable how many entries were left out
 */
record Listing(PlatformEvent.Listed listed, List<PlatformEvent.ReclaimNoticed> notices, int unreadable) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads the platform's answer.
     *
     * @param body the body of the answer
     * @return the reading
     * @throws IOException if the body is not a list of instances
     */
    static Listing read(byte[] body) throws IOException {
        JsonNode json = JSON.readTree(body);
        if (!json.path("backends").isArray()) {
            throw new IOException("the list of instances has no backends");
        }
        List<Backend> backends = new ArrayList<>();
        List<Peers.Peer> nodes = new ArrayList<>();
        List<PlatformEvent.ReclaimNoticed> notices = new ArrayList<>();
        int bad = each(json.path("backends"), n -> backends.add(backend(n)))
                + each(json.path("nodes"), n -> nodes.add(node(n)))
                + each(json.path("notices"), n -> notices.add(notice(n)));
        return new Listing(new PlatformEvent.Listed(backends, nodes), notices, bad);
    }

    private static int each(JsonNode array, java.util.function.Consumer<JsonNode> add) {
        int bad = 0;
        for (JsonNode entry : array) {
            bad += Try.run(() -> add.accept(entry)).isFailure() ? 1 : 0;
        }
        return bad;
    }

    private static Backend backend(JsonNode json) {
        return new Backend(
                new BackendId(json.path("id").asText()),
                Address.parse(json.path("address").asText()),
                new Zone(json.path("zone").asText()),
                Backend.Kind.valueOf(json.path("kind").asText().toUpperCase(Locale.ROOT)),
                json.path("service").asText(),
                json.path("version").asText(),
                texts(json.path("models")),
                texts(json.path("adapters")),
                texts(json.path("roles")),
                json.path("slots").asInt(1),
                json.path("price_per_hour").asDouble(),
                json.path("reclaimable").asBoolean(),
                json.path("leaving").asBoolean());
    }

    private static Peers.Peer node(JsonNode json) {
        return new Peers.Peer(
                new NodeId(json.path("id").asText()),
                Address.parse(json.path("address").asText()),
                new Zone(json.path("zone").asText()));
    }

    private static PlatformEvent.ReclaimNoticed notice(JsonNode json) {
        if (json.path("instance").asText().isBlank()) {
            throw new IllegalArgumentException("a notice names no instance");
        }
        return new PlatformEvent.ReclaimNoticed(
                json.path("instance").asText(), json.path("notice_ms").asLong());
    }

    private static Set<String> texts(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(t -> texts.add(t.asText()));
        return texts;
    }
}
