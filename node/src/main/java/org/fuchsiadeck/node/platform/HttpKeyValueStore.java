package org.fuchsiadeck.node.platform;

import java.net.URLEncoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.platform.PlatformEvent.Entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

/**
 * The platform's key-value service over HTTP, as {@code docs/PLATFORM.md} describes it.
 */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpCalls http;
    private final Address service;
    private final long timeoutMs;
    private final Runnable onClose;

    /**
     * Makes a client.
     *
     * @param http makes the calls; the caller closes it
     * @param service the service's address
     * @param timeoutMs the longest wait for an answer, in milliseconds; a watch waits longer by its own wait
     */
    public HttpKeyValueStore(HttpCalls http, Address service, long timeoutMs) {
        this(http, service, timeoutMs, () -> {});
    }

    private HttpKeyValueStore(HttpCalls http, Address service, long timeoutMs, Runnable onClose) {
        this.http = requireNonNull(http, "http");
        this.service = requireNonNull(service, "service");
        this.timeoutMs = timeoutMs;
        this.onClose = onClose;
    }

    /**
     * Makes a client that owns its connections.
     *
     * @param service the service's address
     * @param timeoutMs the longest wait for an answer, in milliseconds; a watch waits longer by its own wait
     * @return the client; to be closed
     */
    public static HttpKeyValueStore open(Address service, long timeoutMs) {
        HttpCalls http = new HttpCalls();
        return new HttpKeyValueStore(http, service, timeoutMs, http::close);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Found>> get(String key) {
        return call("get " + key, "GET", "/v1/kv/" + encode(key), "", 0, (status, json) -> switch (status) {
            case OK -> new Found(Optional.of(entry(json)), number(json, "service_revision"));
            case NOT_FOUND -> new Found(Optional.empty(), number(json, "service_revision"));
            default -> null;
        });
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Swap>> put(
            String key, String value, OptionalLong expected, Optional<String> lease) {
        List<String> query = new ArrayList<>();
        expected.ifPresent(r -> query.add("expect=" + r));
        lease.ifPresent(id -> query.add("lease=" + encode(id)));
        String target = "/v1/kv/" + encode(key) + (query.isEmpty() ? "" : "?" + String.join("&", query));
        return call("put " + key, "PUT", target, value, 0, HttpKeyValueStore::swap);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Swap>> delete(String key, OptionalLong expected) {
        String query = expected.isPresent() ? "?expect=" + expected.getAsLong() : "";
        String target = "/v1/kv/" + encode(key) + query;
        return call(
                "delete " + key,
                "DELETE",
                target,
                "",
                0,
                (status, json) -> status == NOT_FOUND ? new Swap(false, 0) : swap(status, json));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Changes>> list(String prefix, boolean current) {
        String target = "/v1/list?prefix=" + encode(prefix);
        return call("list " + prefix, "GET", target, "", 0, (status, json) -> changes(status, json, "entries"));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Changes>> watch(String prefix, long afterRevision, long waitMs) {
        String target = "/v1/watch?prefix=" + encode(prefix) + "&after=" + afterRevision + "&wait_ms=" + waitMs;
        return call("watch " + prefix, "GET", target, "", waitMs, (status, json) -> changes(status, json, "events"));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, String>> grantLease(long ttlMs) {
        return call(
                "grant lease",
                "POST",
                "/v1/leases?ttl_ms=" + ttlMs,
                "",
                0,
                (status, json) -> status == OK ? json.required("lease").asText() : null);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Boolean>> renewLease(String lease) {
        String target = "/v1/leases/" + encode(lease) + "/renew";
        return call("renew lease " + lease, "POST", target, "", 0, HttpKeyValueStore::lasted);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, Boolean>> revokeLease(String lease) {
        String target = "/v1/leases/" + encode(lease);
        return call("revoke lease " + lease, "DELETE", target, "", 0, HttpKeyValueStore::lasted);
    }

    @Override
    public void close() {
        onClose.run();
    }

    /** Makes a call; {@code read} gives null for a status that it does not expect. */
    private <T> CompletionStage<Either<PlatformFailure, T>> call(
            String step,
            String method,
            String target,
            String body,
            long waitMs,
            BiFunction<Integer, JsonNode, T> read) {
        HttpCall call = new HttpCall(service, method, target, Map.of(), body, timeoutMs + waitMs);
        return http.call(call)
                .thenApply(result -> result.mapLeft(f -> failure(step, f)).flatMap(answer -> read(step, answer, read)));
    }

    private <T> Either<PlatformFailure, T> read(String step, HttpAnswer answer, BiFunction<Integer, JsonNode, T> read) {
        if (answer.status() == TOO_MANY) {
            return Either.left(failure(step, "over the service's rate", PlatformFailure.Reason.REFUSED));
        }
        if (answer.status() == UNAVAILABLE) {
            return Either.left(failure(step, "the service is unavailable", PlatformFailure.Reason.NO_ANSWER));
        }
        try {
            T value = read.apply(answer.status(), JSON.readTree(answer.body()));
            if (value != null) {
                return Either.right(value);
            }
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Either.left(failure(
                    step,
                    "status " + answer.status() + ", unreadable answer: " + e.getMessage(),
                    PlatformFailure.Reason.NO_ANSWER));
        }
        return Either.left(failure(step, "status " + answer.status(), PlatformFailure.Reason.INVALID));
    }

    private PlatformFailure failure(String step, HttpFailure f) {
        return new PlatformFailure(step, service.toString(), f.toString(), f.sent(), PlatformFailure.Reason.NO_ANSWER);
    }

    private PlatformFailure failure(String step, String detail, PlatformFailure.Reason reason) {
        return new PlatformFailure(step, service.toString(), detail, true, reason);
    }

    private static Swap swap(int status, JsonNode json) {
        return switch (status) {
            case OK -> new Swap(true, number(json, "revision"));
            case CONFLICT -> new Swap(false, number(json, "revision"));
            default -> null;
        };
    }

    private static Boolean lasted(int status, JsonNode json) {
        return switch (status) {
            case OK -> true;
            case NOT_FOUND -> false;
            default -> null;
        };
    }

    private static Changes changes(int status, JsonNode json, String field) {
        if (status != OK) {
            return null;
        }
        List<Entry> entries = new ArrayList<>();
        json.required(field).forEach(e -> entries.add(entry(e)));
        return new Changes(
                entries, number(json, "service_revision"), json.path("gap").asBoolean(false));
    }

    private static Entry entry(JsonNode json) {
        JsonNode value = json.path("value");
        Optional<String> text = value.isTextual() ? Optional.of(value.asText()) : Optional.empty();
        return new Entry(json.required("key").asText(), text, number(json, "revision"));
    }

    private static long number(JsonNode json, String field) {
        JsonNode value = json.required(field);
        if (!value.canConvertToLong()) {
            throw new IllegalArgumentException(field + " must be a number");
        }
        return value.asLong();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, UTF_8).replace("+", "%20");
    }
}
