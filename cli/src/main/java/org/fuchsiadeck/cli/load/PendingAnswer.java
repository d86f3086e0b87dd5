package org.fuchsiadeck.cli.load;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import org.fuchsiadeck.node.client.HttpConnection;
import org.fuchsiadeck.node.client.ResponseListener;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The answer to one request, as it comes. The handler hears of one end only.
 */
final class PendingAnswer implements ResponseListener {
    private final CallerRequest request;
    private final AnswerHandler handler;
    private final Consumer<HttpConnection> keep;
    private final EventReader events;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private AnswerHandler.Head head = AnswerHandler.Head.NONE;
    private HttpConnection connection;
    private boolean ended;

    PendingAnswer(CallerRequest request, AnswerHandler handler, Consumer<HttpConnection> keep) {
        this.request = request;
        this.handler = handler;
        this.keep = keep;
        this.events = new EventReader(this::event);
    }

    /** Writes the request. */
    void begin(HttpConnection opened) {
        synchronized (this) {
            if (ended) {
                opened.close();
                return;
            }
            connection = opened;
        }
        opened.send(request.packet(), this);
    }

    void unconnected(String detail) {
        end(AnswerHandler.Step.CONNECT, detail);
    }

    /** Closes the connection if the answer is not whole yet. */
    void giveUp(String detail) {
        HttpConnection used;
        synchronized (this) {
            if (ended) {
                return;
            }
            used = connection;
        }
        end(used == null ? AnswerHandler.Step.CONNECT : AnswerHandler.Step.ANSWER, detail);
        if (used != null) {
            used.close();
        }
    }

    synchronized boolean hasEnded() {
        return ended;
    }

    @Override
    public synchronized void onHead(HttpResponsePacket packet) {
        String outcome = packet.getHeader("X-Outcome");
        String type = packet.getContentType();
        boolean streamed = type != null && type.startsWith("text/event-stream");
        head = new AnswerHandler.Head(packet.getStatus(), outcome == null ? "" : outcome, streamed);
        if (!ended) {
            handler.head(head);
        }
    }

    @Override
    public synchronized void onBody(Buffer part) {
        if (head.streamed()) {
            events.feed(part);
            return;
        }
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        body.writeBytes(copy);
    }

    @Override
    public void onMalformed(String detail) {
        end(AnswerHandler.Step.ANSWER, detail);
    }

    @Override
    public void onEnd() {
        keep.accept(connection);
        end(AnswerHandler.Step.DONE, "");
    }

    @Override
    public void onLost(String detail) {
        end(AnswerHandler.Step.ANSWER, detail);
    }

    private synchronized void event(StreamEvent event) {
        if (!ended) {
            handler.event(event);
        }
    }

    private synchronized void end(AnswerHandler.Step step, String detail) {
        if (!ended) {
            ended = true;
            handler.ended(new AnswerHandler.Ending(step, head, body.toByteArray(), detail));
        }
    }
}
