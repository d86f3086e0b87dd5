package org.fuchsiadeck.node.exchange;

import java.util.List;

/**
 * The way back to a caller. The first of {@link #answer}, {@link #end}, {@link #refuse} and {@link #abort} is final;
 * later calls do nothing. No call waits.
 */
public interface CallerChannel {
    /**
     * Sends a whole plain answer.
     *
     * @param answer the answer
     */
    void answer(WholeAnswer answer);

    /**
     * Sends the head of a stream, unless it was sent before.
     *
     * @param headers the header fields that the backend server gave
     */
    void startStream(List<Header> headers);

    /**
     * Sends a server-sent event.
     *
     * @param event the event, byte for byte
     */
    void send(byte[] event);

    /**
     * Sends the last event of a whole stream.
     *
     * @param event the event, byte for byte
     */
    void end(byte[] event);

    /**
     * Sends a final answer of the node's own; within a stream, as its last event.
     *
     * @param refusal the answer
     */
    void refuse(Refusal refusal);

    /**
     * Tells whether the connection is known to be closed.
     *
     * @return whether the caller has left
     */
    boolean isGone();

    /**
     * Runs an action after the connection has been polled once more, so that a close is known that reached the node
     * before this call.
     *
     * @param action what to run; must not wait
     */
    void afterNextPoll(Runnable action);

    /** Closes the connection without a final answer, so that the caller sees that the answer is not whole. */
    void abort();

    /**
     * Tells whether more bytes wait for the caller than should be kept.
     *
     * @return whether the source should stop for now
     */
    boolean full();

    /**
     * Sets what to run when the channel is no longer full.
     *
     * @param action what to run; must not wait
     */
    void onDrained(Runnable action);
}
