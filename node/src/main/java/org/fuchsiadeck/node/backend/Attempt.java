package org.fuchsiadeck.node.backend;

import java.util.Optional;
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
 * One attempt to have a request answered by a backend server. Ends exactly once, with {@code AnswerCompleted} or {@code
 * AttemptFailed}.
 */
final class Attempt implements ConnectHandler, ResponseListener, AttemptControl {
    private static final int OK = 200;
    private static final int REDIRECT = 300;
    private static final int SERVER_ERROR = 500;

    private final Exchange exchange;
    private final RequestEffect.Dispatch dispatch;
    private final Supplier<Opening> opening;
    private final BackendIo io;
    private volatile Optional<BackendReport> report = Optional.empty();
    private Step step = Step.CONNECTING;
    private boolean ended;
    private boolean completed;
    private int resumedAt;
    private HttpConnection connection;
    private Reply reply;

    /**
     * Creates an attempt that has not begun.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     * @param opening gives what to write, once there is a connection
     * @param io what attempts share
     */
    Attempt(Exchange exchange, RequestEffect.Dispatch dispatch, Supplier<Opening> opening, BackendIo io) {
        this.exchange = exchange;
        this.dispatch = dispatch;
        this.opening = opening;
        this.io = io;
    }

    /**
     * What an attempt begins with.
     *
     * @param request the request, whole
     * @param resumedAt tokens delivered before
     */
    record Opening(HttpPacket request, int resumedAt) {}

    @Override
    public void onConnected(HttpConnection opened) {
        if (isEnded()) {
            io.release(opened);
            return;
        }
        Opening first;
        try {
            first = opening.get();
        } catch (RuntimeException e) {
            fail(Kind.UNREACHABLE, "the request can't be written: " + e);
            opened.close();
            return;
        }
        resumedAt = first.resumedAt();
        write(opened, first.request());
    }

    private void write(HttpConnection opened, HttpPacket packet) {
        boolean late;
        synchronized (this) {
            late = ended;
            if (!late) {
                connection = opened;
                step = Step.AWAITING;
                io.events().post(new RequestEvent.Writing(id(), dispatch.attempt()));
            }
        }
        if (late) {
            io.release(opened);
            return;
        }
        opened.send(packet, this);
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
        AnswerHead head = io.protocol().head(packet, dispatch);
        setStreaming();
        if (!head.awaited()) {
            io.stale(dispatch, "an answer to " + head.answers() + " came for " + id());
            fail(Kind.BAD_ANSWER, "the answer is of another request");
            return;
        }
        report = head.report();
        head.unreadable().ifPresent(text -> io.unreadable(dispatch, text));
        begin(head);
    }

    private void begin(AnswerHead head) {
        if (head.notRun()) {
            fail(Kind.REFUSED_NOT_RUN, "status " + head.status() + ", not run");
        } else if (head.status() >= SERVER_ERROR && !head.passedOn()) {
            fail(Kind.SERVER_ERROR, "status " + head.status());
        } else if (head.status() < OK || !head.whole()) {
            fail(Kind.BAD_ANSWER, "status " + head.status() + " without an end that can be told");
        } else if (exchange.call().stream() && head.status() < REDIRECT) {
            beginStream(head);
        } else if (resumedAt > 0) {
            fail(Kind.SERVER_ERROR, "status " + head.status() + " to a resumed stream");
        } else {
            reply = new PlainReply(head, io.maxAnswerBytes(), this::gather, this::whole);
        }
    }

    private void beginStream(AnswerHead head) {
        if (!head.isEventStream()) {
            fail(Kind.BAD_ANSWER, "the answer is not an event stream");
            return;
        }
        StreamSink sink =
                new StreamSink(t -> exchange.token(dispatch.attempt(), t), this::done, e -> fail(Kind.SERVER_ERROR, e));
        reply = io.protocol().stream(resumedAt, sink);
        exchange.head(dispatch.attempt(), head.headers());
        io.events().post(new RequestEvent.AnswerStarted(id(), dispatch.attempt(), report));
    }

    @Override
    public void onBody(Buffer part) {
        if (reply == null || isEnded() && !completed) {
            return;
        }
        try {
            reply.body(part);
        } catch (BadAnswerException e) {
            broken(e);
        }
    }

    @Override
    public void onEnd() {
        if (reply == null || isEnded() && !completed) {
            return;
        }
        try {
            reply.end();
            io.keep(connection);
        } catch (BadAnswerException e) {
            broken(e);
        }
    }

    private void broken(BadAnswerException e) {
        if (completed) {
            connection.close();
            return;
        }
        fail(Kind.BAD_ANSWER, e.getMessage());
    }

    @Override
    public void onMalformed(String detail) {
        setStreaming();
        fail(Kind.BAD_ANSWER, detail);
    }

    @Override
    public void onLost(String detail) {
        fail(Kind.CLOSED, detail);
    }

    private boolean gather(int bytes) {
        if (exchange.gather(dispatch.attempt(), bytes)) {
            return true;
        }
        fail(Kind.NO_ROOM, "the node holds too many bytes for its callers");
        return false;
    }

    private void whole(WholeAnswer answer) {
        exchange.whole(dispatch.attempt(), answer);
        if (answer.status() >= SERVER_ERROR) {
            serverError(answer);
            return;
        }
        complete(answer.status(), 0, 0);
    }

    private void serverError(WholeAnswer answer) {
        if (!end()) {
            return;
        }
        completed = true;
        io.failed(Kind.SERVER_ERROR);
        String peer = dispatch.backend().address().toString();
        Failure failure = new Failure(Step.STREAMING, Kind.SERVER_ERROR, peer, "status " + answer.status(), true);
        io.events().post(new RequestEvent.AttemptFailed(id(), dispatch.attempt(), failure, report));
    }

    private void done(StreamSink.End end) {
        exchange.last(dispatch.attempt(), end.event());
        complete(OK, end.delivered(), end.recomputed());
        io.expectEnd(connection);
    }

    private void complete(int status, int delivered, int recomputed) {
        if (!end()) {
            return;
        }
        completed = true;
        io.events()
                .post(new RequestEvent.AnswerCompleted(
                        id(), dispatch.attempt(), status, delivered, recomputed, report));
    }

    @Override
    public void fail(Kind kind, String detail) {
        Step reached;
        HttpConnection used;
        synchronized (this) {
            reached = step;
            used = connection;
        }
        if (!end()) {
            return;
        }
        exchange.forget(dispatch.attempt());
        if (used != null) {
            used.close();
        }
        Failure failure =
                new Failure(reached, kind, dispatch.backend().address().toString(), detail);
        io.failed(kind);
        io.events().post(new RequestEvent.AttemptFailed(id(), dispatch.attempt(), failure, report));
    }

    @Override
    public synchronized void pauseReading() {
        if (connection != null) {
            connection.pauseReading();
        }
    }

    @Override
    public void resumeReading() {
        HttpConnection used;
        synchronized (this) {
            used = connection;
        }
        if (used != null) {
            used.resumeReading();
        }
    }

    private RequestId id() {
        return dispatch.id();
    }

    private synchronized boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    private synchronized boolean isEnded() {
        return ended;
    }

    private synchronized void setStreaming() {
        step = Step.STREAMING;
    }
}
