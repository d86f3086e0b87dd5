package org.fuchsiadeck.node.backend;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.Failure.Kind;
import org.fuchsiadeck.core.request.Failure.Step;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.client.ConnectHandler;
import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.client.ResponseListener;
import org.fuchsiadeck.node.exchange.AttemptControl;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.WholeAnswer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Sends a request to one backend server and processes the answer. Ends exactly once, with {@code AnswerCompleted} or
 * {@code AttemptFailed}.
 */
final class Attempt implements ConnectHandler, ResponseListener, AttemptControl {
    private static final int OK = 200;
    private static final int REDIRECT = 300;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_STATUS = 599;

    private final Exchange exchange;
    private final RequestEffect.Dispatch dispatch;
    private final Supplier<OutgoingRequest> requestSupplier;
    private final AttemptResources resources;
    private final long createdNanos = System.nanoTime();
    private volatile Optional<BackendReport> report = Optional.empty();
    private Step step = Step.CONNECTING;
    private boolean ended;
    private boolean completed;
    private volatile boolean checkingCaller;
    private int resumeIndex;
    private HttpConnection connection;
    private AnswerBodyReader bodyReader;

    /**
     * Creates an attempt that has not started.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     * @param requestSupplier creates the request to write once a connection is open
     * @param resources the resources shared by all attempts
     */
    Attempt(
            Exchange exchange,
            RequestEffect.Dispatch dispatch,
            Supplier<OutgoingRequest> requestSupplier,
            AttemptResources resources) {
        this.exchange = exchange;
        this.dispatch = dispatch;
        this.requestSupplier = requestSupplier;
        this.resources = resources;
    }

    /**
     * The request that an attempt writes.
     *
     * @param request the complete request
     * @param resumeIndex tokens delivered by earlier attempts
     */
    record OutgoingRequest(HttpPacket request, int resumeIndex) {}

    /** Notes whether the attempt waits to know that the caller is still there. The server is not at fault meanwhile. */
    void checkingCaller(boolean pending) {
        checkingCaller = pending;
    }

    /**
     * Returns whether the attempt may go on, before any of its bytes is written. If the caller has left, the attempt waits
     * to be cancelled by the reducer, which is told of it.
     */
    boolean mayStart() {
        if (isEnded()) {
            return false;
        }
        if (exchange.isCallerGone()) {
            resources.reportNotSent(dispatch);
            return false;
        }
        return true;
    }

    @Override
    public void onConnected(HttpConnection newConnection) {
        if (!mayStart()) {
            resources.returnUnused(newConnection);
            return;
        }
        if (resources.hasDeparted(dispatch.backend().id())) {
            fail(Kind.UNREACHABLE, "the server left while the request waited for a connection");
            newConnection.close();
            return;
        }
        OutgoingRequest outgoing;
        try {
            outgoing = requestSupplier.get();
        } catch (RuntimeException e) {
            fail(Kind.UNREACHABLE, "the request could not be created: " + e);
            newConnection.close();
            return;
        }
        resumeIndex = outgoing.resumeIndex();
        write(newConnection, outgoing.request());
    }

    private void write(HttpConnection newConnection, HttpPacket packet) {
        boolean alreadyEnded;
        synchronized (this) {
            alreadyEnded = ended;
            if (!alreadyEnded) {
                connection = newConnection;
                step = Step.AWAITING;
                resources.events().post(new RequestEvent.Writing(id(), dispatch.attempt()));
            }
        }
        if (alreadyEnded) {
            resources.returnUnused(newConnection);
            return;
        }
        resources.recordWriteWait(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNanos));
        newConnection.send(packet, this);
    }

    @Override
    public void onFailed(String detail) {
        fail(Kind.UNREACHABLE, detail);
    }

    @Override
    public void onHead(HttpResponsePacket packet) {
        if (isEnded()) {
            return;
        }
        AnswerHead head = resources.protocol().parseHead(packet, dispatch);
        markStreaming();
        if (!isAwaited(head)) {
            resources.logStaleAnswer(dispatch, "received an answer to " + head.answeredAttempt() + " for " + id());
            fail(Kind.BAD_ANSWER, "the answer belongs to another request");
            return;
        }
        report = head.report();
        head.invalidReport().ifPresent(text -> resources.logInvalidReport(dispatch, text));
        head.invalidLoad().ifPresent(text -> resources.countInvalidLoad(dispatch, text));
        startReading(head);
    }

    private boolean isAwaited(AnswerHead head) {
        return head.match() == AnswerHead.Match.NAMED
                || head.match() == AnswerHead.Match.UNNAMED_REFUSAL && connection.isFirstAnswer();
    }

    private void startReading(AnswerHead head) {
        if (head.notRun()) {
            fail(Kind.REFUSED_NOT_RUN, "status " + head.status() + ", not run");
        } else if (head.status() > MAX_STATUS) {
            fail(Kind.SERVER_ERROR, "status " + head.status() + " is not in 100..599");
        } else if (head.status() >= SERVER_ERROR && !head.forwardsError()) {
            fail(Kind.SERVER_ERROR, "status " + head.status());
        } else if (head.status() < OK || !head.delimited()) {
            fail(Kind.BAD_ANSWER, "status " + head.status() + " is not final or its body is not delimited");
        } else if (exchange.call().stream() && head.status() < REDIRECT) {
            startStream(head);
        } else if (resumeIndex > 0) {
            fail(Kind.SERVER_ERROR, "status " + head.status() + " to a resumed stream");
        } else {
            bodyReader = new PlainAnswerReader(head, resources.maxAnswerBytes(), this::reserve, this::completeAnswer);
        }
    }

    private void startStream(AnswerHead head) {
        if (!head.isEventStream()) {
            fail(Kind.BAD_ANSWER, "the answer is not an event stream");
            return;
        }
        StreamSink sink = new StreamSink(
                token -> exchange.token(dispatch.attempt(), token),
                this::completeStream,
                error -> fail(Kind.SERVER_ERROR, error));
        bodyReader = resources.protocol().createStreamReader(resumeIndex, sink);
        exchange.head(dispatch.attempt(), head.headers());
        resources.events().post(new RequestEvent.AnswerStarted(id(), dispatch.attempt(), report));
    }

    @Override
    public void onBody(Buffer part) {
        if (bodyReader == null || isEnded() && !completed) {
            return;
        }
        try {
            bodyReader.onBody(part);
        } catch (BadAnswerException e) {
            rejectAnswer(e);
        }
    }

    @Override
    public void onEnd() {
        if (bodyReader == null || isEnded() && !completed) {
            return;
        }
        try {
            bodyReader.onEnd();
            resources.returnAfterRead(connection);
        } catch (BadAnswerException e) {
            rejectAnswer(e);
        }
    }

    private void rejectAnswer(BadAnswerException e) {
        if (completed) {
            connection.close();
            return;
        }
        fail(Kind.BAD_ANSWER, e.getMessage());
    }

    @Override
    public void onMalformed(String detail) {
        markStreaming();
        fail(Kind.BAD_ANSWER, detail);
    }

    @Override
    public void onLost(String detail) {
        fail(Kind.CLOSED, detail);
    }

    private boolean reserve(int bytes) {
        if (exchange.gather(dispatch.attempt(), bytes)) {
            return true;
        }
        fail(Kind.NO_ROOM, "the node's byte budget is exhausted");
        return false;
    }

    private void completeAnswer(WholeAnswer answer) {
        exchange.whole(dispatch.attempt(), answer);
        if (answer.status() >= SERVER_ERROR) {
            failWithAnswer(answer);
            return;
        }
        complete(answer.status(), 0, 0);
    }

    private void failWithAnswer(WholeAnswer answer) {
        if (!markEnded()) {
            return;
        }
        completed = true;
        resources.countFailure(Kind.SERVER_ERROR);
        String peer = dispatch.backend().address().toString();
        Failure failure = new Failure(Step.STREAMING, Kind.SERVER_ERROR, peer, "status " + answer.status(), true);
        resources.events().post(new RequestEvent.AttemptFailed(id(), dispatch.attempt(), failure, report));
    }

    private void completeStream(StreamSink.End end) {
        exchange.last(dispatch.attempt(), end.event());
        complete(OK, end.deliveredTokens(), end.recomputedTokens());
        resources.awaitEnd(connection);
    }

    private void complete(int status, int delivered, int recomputed) {
        if (!markEnded()) {
            return;
        }
        completed = true;
        resources
                .events()
                .post(new RequestEvent.AnswerCompleted(
                        id(), dispatch.attempt(), status, delivered, recomputed, report));
    }

    @Override
    public void fail(Kind kind, String detail) {
        if (checkingCaller) {
            end(Kind.NODE_BEHIND, detail + " before the caller's connection was polled");
        } else {
            end(kind, detail);
        }
    }

    private void end(Kind kind, String detail) {
        Step lastStep;
        HttpConnection currentConnection;
        synchronized (this) {
            lastStep = step;
            currentConnection = connection;
        }
        if (!markEnded()) {
            return;
        }
        exchange.forget(dispatch.attempt());
        if (currentConnection != null) {
            currentConnection.close();
        }
        Failure failure =
                new Failure(lastStep, kind, dispatch.backend().address().toString(), detail);
        resources.countFailure(kind);
        resources.events().post(new RequestEvent.AttemptFailed(id(), dispatch.attempt(), failure, report));
    }

    @Override
    public synchronized void pauseReading() {
        if (connection != null) {
            connection.pauseReading();
        }
    }

    @Override
    public void resumeReading() {
        HttpConnection currentConnection;
        synchronized (this) {
            currentConnection = connection;
        }
        if (currentConnection != null) {
            currentConnection.resumeReading();
        }
    }

    private RequestId id() {
        return dispatch.id();
    }

    private synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private synchronized boolean isEnded() {
        return ended;
    }

    private synchronized void markStreaming() {
        step = Step.STREAMING;
    }
}
