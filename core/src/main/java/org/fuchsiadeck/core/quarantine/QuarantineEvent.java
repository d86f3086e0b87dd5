package org.fuchsiadeck.core.quarantine;

import java.util.List;

import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * What this node learns about prompt parts from its own requests, and decides about them.
 */
public sealed interface QuarantineEvent extends Event {
    /**
     * An attempt was lost before or as its answer began.
     *
     * @param loss the loss
     */
    record Lost(PromptLoss loss) implements QuarantineEvent {
        public Lost {
            requireNonNull(loss, "loss");
        }
    }

    /**
     * A request was answered, or its answer has been coming for a while.
     *
     * @param parts the parts of its prompt that other prompts may contain too
     */
    record Answered(List<String> parts) implements QuarantineEvent {
        public Answered {
            parts = List.copyOf(parts);
        }
    }

    /**
     * A backend server with a recorded loss answered an attempt, so that it may not have crashed.
     *
     * @param server the server
     * @param dispatchedMs the time of dispatch of the answered attempt, in milliseconds
     */
    record ServerAnswered(BackendId server, long dispatchedMs) implements QuarantineEvent {
        public ServerAnswered {
            requireNonNull(server, "server");
        }
    }

    /** The losses until now can be judged, since the servers had time to answer others. */
    record ReviewDue() implements QuarantineEvent {}

    /**
     * A request is sent to a backend server to try whether its prompt still crashes servers.
     *
     * @param parts the parts of its prompt that other prompts may contain too
     */
    record TrialStarted(List<String> parts) implements QuarantineEvent {
        public TrialStarted {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Requests with all of the parts are rejected from now on. Raised for the other reducers.
     *
     * @param quarantine the quarantine
     */
    record Started(Quarantine quarantine) implements QuarantineEvent {
        public Started {
            requireNonNull(quarantine, "quarantine");
        }
    }

    /** What was learned since the last message is to be sent to other nodes. */
    record SendDue() implements QuarantineEvent {}

    /** The next exchange with other nodes is due. */
    record Tick() implements QuarantineEvent {}
}
