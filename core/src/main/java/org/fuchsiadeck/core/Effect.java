package org.fuchsiadeck.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiadeck.core.model.NodeId;

import static java.util.Objects.requireNonNull;

/**
 * An action for the node to run, described as data by a reducer. Each reducer has its own sealed interface of effects;
 * the records in this file are common to all of them.
 */
public interface Effect {
    /**
     * Delivers an event to the reducer at a later time. It can't be cancelled: a reducer ignores events that no longer
     * apply.
     *
     * @param atMs the monotonic time of delivery, in milliseconds
     * @param event the event to deliver
     */
    record Schedule(long atMs, Event event) implements Effect {
        public Schedule {
            requireNonNull(event, "event");
        }
    }

    /**
     * Delivers an event to the reducer within the same step, after the events already raised.
     *
     * @param event the event to reduce next
     */
    record Raise(Event event) implements Effect {
        public Raise {
            requireNonNull(event, "event");
        }
    }

    /**
     * Sends a message to another entry node. Delivery is not guaranteed, and losses are not reported.
     *
     * @param to the receiving node
     * @param message the message
     */
    record Send(NodeId to, PeerMessage message) implements Effect {
        public Send {
            requireNonNull(to, "to");
            requireNonNull(message, "message");
        }
    }

    /**
     * Writes a numbered log event.
     *
     * @param code what happened
     * @param detail free text that names the ids and values concerned
     * @param fields named values, in the order in which they are written
     */
    record Log(EventCode code, String detail, Map<String, Object> fields) implements Effect {
        public Log {
            requireNonNull(code, "code");
            requireNonNull(detail, "detail");
            fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
        }

        /**
         * Creates a log event without named values.
         *
         * @param code what happened
         * @param detail free text that names the ids and values concerned
         */
        public Log(EventCode code, String detail) {
            this(code, detail, Map.of());
        }
    }

    /**
     * Ends the process. It is emitted after every request in progress has had its final answer.
     */
    record Stop() implements Effect {}
}
