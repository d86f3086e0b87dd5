package org.fuchsiadeck.node.front;

import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Meter;
import org.fuchsiadeck.core.config.ConfigState.Proof;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.RequestEffect.Outcome;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.exchange.CallerBody;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Exchanges;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.exchange.Room;
import org.fuchsiadeck.node.http.RequestGate;
import org.fuchsiadeck.node.run.EventSink;
import org.fuchsiadeck.node.run.SelectorDelays;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;

/**
 * Takes callers' requests: reads and checks them, and hands them to the decisions.
 */
final class CallerHandler extends HttpHandler {
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final Refusal UNPROVEN =
            busy("configuration_unproven", "The node can't find out whether its configuration is the newest.");

    private final CallerProtocol protocol;
    private final RequestIds ids;
    private final Exchanges exchanges;
    private final EventSink events;
    private final ConfigurationSource configuration;
    private final RefusalLog refusals;
    private final Meter requests;
    private final Executor pump;
    private final EarlyCalls early;
    private final UnprovenCalls unproven;
    private final BooleanSupplier draining;
    private final long maxBodyBytes;
    private final Room room;
    private final SelectorDelays delays;

    CallerHandler(
            Front front,
            RefusalLog refusals,
            RequestIds ids,
            Executor pump,
            EarlyCalls early,
            UnprovenCalls unproven,
            BooleanSupplier draining) {
        this.protocol = front.protocol();
        this.ids = ids;
        this.exchanges = front.exchanges();
        this.events = front.events();
        this.configuration = front.configuration();
        this.refusals = refusals;
        this.requests = front.metrics().meter("front.requests");
        this.pump = pump;
        this.early = early;
        this.unproven = unproven;
        this.draining = draining;
        this.maxBodyBytes = front.limits().maxBodyBytes();
        this.room = new Room(front.budget(), front.limits().maxBufferedBytes() / 2, Integer.MAX_VALUE);
        this.delays = front.delays();
        setDecodeUrl(false);
    }

    @Override
    public RequestExecutorProvider getRequestExecutorProvider() {
        return new RequestExecutorProvider.SameThreadProvider();
    }

    @Override
    public void service(Request request, Response response) {
        requests.mark();
        RequestId id = ids.next();
        BadCallException bad = null;
        try {
            id = protocol.requestId(request).orElse(id);
        } catch (BadCallException e) {
            bad = e;
        }
        response.suspend();
        CallerConnection connection = CallerConnection.of(request.getContext().getConnection());
        CallerResponse answer = new CallerResponse(
                response, request.getContext().getConnection(), id, pump, draining, protocol, room.budget());
        connection.begin(answer, refusal -> refuse(answer, refusal, true));
        if (bad != null) {
            refuse(answer, bad.refusal(), true);
            return;
        }
        if (room.budget().isTight()) {
            refuse(answer, BodyReader.nodeFull(), true);
            return;
        }
        Call call = new Call(id, answer, connection, configuration.nowMs());
        if (!early.hold(() -> connection.readOn(() -> begin(request, call)))) {
            begin(request, call);
        }
    }

    /** Reads a request. The proof is taken before the configuration, which can only be newer then. */
    private void begin(Request request, Call call) {
        Proof proof = configuration.proofFor(call.arrivedMs());
        try {
            Configuration current = configuration.current();
            CallerProtocol.Head head = protocol.head(request, current);
            boolean none = current.revision() == 0 && current.routes().isEmpty();
            if (head.route().isPresent() || proof == Proof.GIVEN || none) {
                read(request, call, head);
            } else {
                awaitProof(request, call, proof);
            }
        } catch (BadCallException e) {
            if (!e.isByConfiguration()) {
                refuse(call.answer(), e.refusal(), true);
            } else if (proof == Proof.GIVEN) {
                refuseByConfiguration(call, e.refusal());
            } else {
                awaitProof(request, call, proof);
            }
        }
    }

    private void awaitProof(Request request, Call call, Proof proof) {
        boolean held = proof == Proof.AWAITED
                && unproven.hold(call.arrivedMs(), () -> call.connection().readOn(() -> begin(request, call)));
        if (!held) {
            refuseByConfiguration(call, UNPROVEN);
        }
    }

    private void refuseByConfiguration(Call call, Refusal refusal) {
        if (!call.answer().isEnding()) {
            refusals.note(refusal, configuration);
            call.answer().refuse(refusal, true);
        }
    }

    private record Call(RequestId id, CallerResponse answer, CallerConnection connection, long arrivedMs) {}

    private void read(Request request, Call call, CallerProtocol.Head head) {
        long limit =
                Math.min(maxBodyBytes, head.route().map(Route::maxBodyBytes).orElse(maxBodyBytes));
        if (request.getContentLengthLong() > limit) {
            refuse(call.answer(), BodyReader.tooLarge(limit), true);
            return;
        }
        Connection<?> connection = request.getContext().getConnection();
        BodyReader reader = new BodyReader(
                request.getNIOInputStream(),
                () -> RequestGate.readBody(connection),
                call.connection()::readOn,
                limit,
                call.answer()::takeBody,
                bytes -> arrived(call, head, bytes),
                refusal -> refuse(call.answer(), refusal, true));
        reader.start();
    }

    private void arrived(Call call, CallerProtocol.Head head, byte[] bytes) {
        try {
            CallerProtocol.Reading reading = protocol.read(head, bytes);
            CallerBody body = new CallerBody(head.uri(), head.contentType(), head.headers(), bytes);
            accept(call, reading.request(), body, room.forTokens(reading.maxTokens()));
        } catch (BadCallException e) {
            refuse(call.answer(), e.refusal(), false);
        }
    }

    private void accept(Call call, CallerRequest request, CallerBody body, Room allowed) {
        if (!call.connection().isWhole()) {
            return;
        }
        RequestId id = call.id();
        Exchange exchange = new Exchange(id, request, body, call.answer(), events, allowed);
        call.answer().bodyPassedOn();
        Exchanges.Added added = exchanges.add(exchange);
        if (added != Exchanges.Added.YES) {
            refuse(call.answer(), notAdded(added), false);
            exchange.release();
            return;
        }
        long receivedMs = configuration.nowMs() - call.connection().readDelayMs(delays);
        if (!events.offer(new RequestEvent.Arrived(id, request, OptionalLong.of(receivedMs)))) {
            refuse(call.answer(), busy("overloaded", "The node has too much to do."), false);
            exchanges.release(id);
            return;
        }
        call.connection().watch(() -> postGone(id));
    }

    /** The event that keeps the order is posted first, so that it precedes the arrival of a later request with the id. */
    private void postGone(RequestId id) {
        events.post(new RequestEvent.CallerGone(id, false));
        events.post(new RequestEvent.CallerGone(id, true));
    }

    private void refuse(CallerResponse answer, Refusal refusal, boolean close) {
        if (answer.isEnding()) {
            return;
        }
        refusals.note(refusal);
        answer.refuse(refusal, close);
    }

    private static Refusal busy(String reason, String detail) {
        return new Refusal(Outcome.NOT_RUN, UNAVAILABLE, RETRY_AFTER_MS, reason, detail);
    }

    private static Refusal notAdded(Exchanges.Added added) {
        return added == Exchanges.Added.SAME_ID
                ? busy("request_id_in_use", "A request with this id is in progress.")
                : busy("too_many_streams", "The node has as many streams in progress as it may.");
    }
}
