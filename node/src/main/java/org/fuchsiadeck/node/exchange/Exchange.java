package org.fuchsiadeck.node.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.request.Failure;
import org.fuchsiadeck.core.request.RequestEvent;
import org.fuchsiadeck.node.run.EventSink;

import static java.util.Objects.requireNonNull;

/**
 * One caller's request: joins the attempts at backend servers to the caller. Only the attempt that was chosen by {@link
 * #relay} reaches the caller; what others send is held or dropped.
 */
public final class Exchange {
    private final RequestId id;
    private final CallerRequest call;
    private final CallerBody body;
    private final CallerChannel caller;
    private final EventSink events;
    private final ByteBudget.Account account;
    private final Map<Integer, Inbox> inboxes = new HashMap<>();
    private final StreamText text;
    private final Progress progress = new Progress();
    private Inbox relayed;
    private boolean released;

    /**
     * Creates the exchange of a request that is whole.
     *
     * @param id the request
     * @param call what the decisions know of it
     * @param body what only the data path needs
     * @param caller the way back
     * @param events takes reports of progress
     * @param room what the exchange may hold
     */
    public Exchange(
            RequestId id, CallerRequest call, CallerBody body, CallerChannel caller, EventSink events, Room room) {
        this.id = requireNonNull(id, "id");
        this.call = requireNonNull(call, "call");
        this.body = requireNonNull(body, "body");
        this.caller = requireNonNull(caller, "caller");
        this.events = requireNonNull(events, "events");
        this.account = room.budget().open();
        this.text = new StreamText(room, account, call.origin().received());
        account.add(body.bytes().length);
        caller.onDrained(this::drained);
    }

    /**
     * Returns the request's id.
     *
     * @return the id
     */
    public RequestId id() {
        return id;
    }

    /**
     * Returns what the decisions know of the request.
     *
     * @return the call
     */
    public CallerRequest call() {
        return call;
    }

    /**
     * Returns what the caller sent.
     *
     * @return the body
     */
    public CallerBody body() {
        return body;
    }

    /**
     * Returns the tokens delivered so far, over all attempts.
     *
     * @return the journal as it is now
     */
    public synchronized Journal journal() {
        return text.journal();
    }

    /**
     * Opens an attempt.
     *
     * @param attempt the attempt, from 1
     * @param control the attempt's controls
     * @return false if the request was released, so that the attempt must not start
     */
    public synchronized boolean open(int attempt, AttemptControl control) {
        if (released) {
            return false;
        }
        inboxes.put(attempt, new Inbox(attempt, control, account));
        return true;
    }

    /**
     * Finds an attempt's controls.
     *
     * @param attempt the attempt
     * @return the controls; null if there is no such attempt
     */
    public synchronized AttemptControl control(int attempt) {
        Inbox inbox = inboxes.get(attempt);
        return inbox == null ? null : inbox.control;
    }

    /**
     * Ends all attempts before one, because it takes their place.
     *
     * @param attempt the attempt
     */
    public void endEarlier(int attempt) {
        List<AttemptControl> earlier;
        synchronized (this) {
            earlier = inboxes.values().stream()
                    .filter(i -> i.attempt < attempt)
                    .map(i -> i.control)
                    .toList();
        }
        earlier.forEach(c -> c.fail(Failure.Kind.CLOSED, "replaced by attempt " + attempt));
    }

    /**
     * Takes a token of an attempt: passes it on, or holds it until the attempt is chosen.
     *
     * @param attempt the attempt
     * @param token the token
     */
    public synchronized void token(int attempt, Token token) {
        Inbox inbox = inboxes.get(attempt);
        if (inbox == null) {
            return;
        }
        if (inbox == relayed) {
            forward(inbox, token);
        } else {
            inbox.hold(token);
        }
        if (inbox == relayed ? caller.full() : inbox.full()) {
            inbox.pause();
        }
    }

    /**
     * Counts bytes of an attempt's plain answer before they are kept.
     *
     * @param attempt the attempt
     * @param bytes how many there are
     * @return false if the node has no room for them, so that the attempt must fail
     */
    public synchronized boolean gather(int attempt, int bytes) {
        Inbox inbox = inboxes.get(attempt);
        return inbox == null || inbox.gather(bytes);
    }

    /**
     * Takes the event that ends an attempt's whole stream. It goes to the caller with {@link #endStream}.
     *
     * @param attempt the attempt
     * @param event the event, byte for byte
     */
    public synchronized void last(int attempt, byte[] event) {
        Inbox inbox = inboxes.get(attempt);
        if (inbox != null) {
            inbox.last = event;
        }
    }

    /**
     * Takes an attempt's whole plain answer. It goes to the caller with {@link #relay}.
     *
     * @param attempt the attempt
     * @param answer the answer
     */
    public synchronized void whole(int attempt, WholeAnswer answer) {
        Inbox inbox = inboxes.get(attempt);
        if (inbox != null) {
            inbox.whole = answer;
        }
    }

    /**
     * Takes the header fields of an attempt's stream. They go to the caller with {@link #relay}.
     *
     * @param attempt the attempt
     * @param headers the fields
     */
    public synchronized void head(int attempt, List<Header> headers) {
        Inbox inbox = inboxes.get(attempt);
        if (inbox != null) {
            inbox.headers = headers;
        }
    }

    /**
     * Chooses the attempt whose answer reaches the caller.
     *
     * @param attempt the attempt
     */
    public synchronized void relay(int attempt) {
        Inbox inbox = inboxes.get(attempt);
        if (inbox == null) {
            return;
        }
        relayed = inbox;
        if (inbox.whole != null) {
            caller.answer(inbox.whole);
            return;
        }
        caller.startStream(inbox.headers);
        for (Token token = inbox.poll(); token != null; token = inbox.poll()) {
            forward(inbox, token);
        }
        if (!caller.full()) {
            inbox.resume();
        }
    }

    /** Ends the caller's answer as whole. */
    public synchronized void endStream() {
        if (relayed != null && relayed.last != null) {
            caller.end(relayed.last);
            return;
        }
        inboxes.values().stream().filter(i -> i.whole != null).findFirst().ifPresent(i -> caller.answer(i.whole));
    }

    /**
     * Gives the caller a final answer of the node's own.
     *
     * @param refusal the answer
     */
    public synchronized void refuse(Refusal refusal) {
        caller.refuse(refusal);
    }

    /**
     * Tells whether the caller's connection is known to be closed.
     *
     * @return whether the caller has left
     */
    public boolean isCallerGone() {
        return caller.isGone();
    }

    /**
     * Runs an action after the caller's connection has been polled once more.
     *
     * @param action what to run; must not wait
     */
    public void afterNextPoll(Runnable action) {
        caller.afterNextPoll(action);
    }

    /**
     * Forgets an attempt, so that nothing it sends reaches the caller. Reports first what it passed on: a retry is
     * judged by it.
     *
     * @param attempt the attempt
     */
    public synchronized void forget(int attempt) {
        Inbox inbox = inboxes.remove(attempt);
        if (inbox == null) {
            return;
        }
        inbox.discard();
        if (inbox == relayed) {
            if (progress.unreported(text.tokens())) {
                report();
            }
            relayed = null;
        }
    }

    /** Ends all attempts. A caller who has no final answer yet sees its connection closed. */
    public void release() {
        Map<Integer, Inbox> open;
        synchronized (this) {
            released = true;
            open = Map.copyOf(inboxes);
            inboxes.clear();
            relayed = null;
        }
        open.values().forEach(i -> i.control.fail(Failure.Kind.CLOSED, "the request was released"));
        caller.abort();
        account.close();
    }

    /** Reports that a stream which waits for its caller is in progress; called now and then. */
    public synchronized void reportWaiting() {
        if (relayed != null && relayed.paused()) {
            report();
        }
    }

    private void forward(Inbox inbox, Token token) {
        int delivered = text.tokens();
        if (token.index() < delivered) {
            return;
        }
        if (token.index() > delivered) {
            inbox.control.fail(Failure.Kind.BAD_ANSWER, "token " + token.index() + " came after " + (delivered - 1));
            return;
        }
        Optional<StreamText.Overrun> overrun = text.append(token.text());
        if (overrun.isPresent()) {
            inbox.control.fail(overrun.get().kind(), overrun.get().detail());
            return;
        }
        caller.send(token.event());
        if (progress.isDue(text.tokens())) {
            report();
        }
    }

    private void report() {
        progress.reported(text.tokens());
        events.post(new RequestEvent.Progressed(id, relayed.attempt, text.tokens()));
    }

    private synchronized void drained() {
        if (relayed != null) {
            relayed.resume();
        }
    }
}
