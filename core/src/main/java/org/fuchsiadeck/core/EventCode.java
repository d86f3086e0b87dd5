package org.fuchsiadeck.core;

/**
 * The catalogue of numbered log events. The page {@code docs/EVENTS.md} lists the same events, which a test checks.
 * Numbers are never reused.
 */
public enum EventCode {
    NODE_STARTED(1001, Level.INFO, "The node serves callers."),
    NODE_DRAINING(1002, Level.INFO, "The node accepts no new requests and finishes those in progress."),
    NODE_STOPPED(1003, Level.INFO, "The node has released every resource."),
    SETTINGS_RELOADED(1004, Level.INFO, "The settings file was reloaded."),
    SETTINGS_REJECTED(1005, Level.ERROR, "The changed settings file is invalid; the previous settings stay in force."),
    LOOP_BUSY(1006, Level.WARN, "One event blocks the node's event loop."),
    LOOP_LOST(1007, Level.ERROR, "The node's event loop handles no more events; the process ends to be restarted."),
    LOOP_BEHIND(1008, Level.WARN, "Events wait long for the node's event loop."),
    LOOP_CAUGHT_UP(1009, Level.INFO, "Events are handled without delay again."),
    REQUEST_REFUSED(2001, Level.INFO, "A request was refused and not run."),
    REQUEST_OUTCOME_UNKNOWN(2002, Level.WARN, "A request failed after it may have run."),
    REQUEST_RETRIED(2003, Level.INFO, "A request is tried on another backend server."),
    CALLER_GONE(2004, Level.INFO, "A caller closed its connection before its answer was complete."),
    BAD_REQUEST(2005, Level.INFO, "A caller's request could not be read."),
    STALE_ANSWER(2006, Level.WARN, "An answer that matches no pending attempt was dropped."),
    STREAM_MOVED(2007, Level.INFO, "A stream continues on another backend server."),
    REQUEST_PLACED(2010, Level.INFO, "A request is sent to a backend server."),
    REQUEST_WAITS(2011, Level.INFO, "A request is queued until a backend server has capacity."),
    REQUEST_ANSWERED(2012, Level.INFO, "A request was answered completely."),
    REQUEST_ERROR_PASSED_ON(2013, Level.INFO, "An error from a backend server was forwarded to the caller."),
    REQUEST_STAYS(2014, Level.INFO, "A request finishes on a backend server that is leaving."),
    REQUEST_DUPLICATE(2015, Level.INFO, "An earlier request has the same idempotency key."),
    ATTEMPT_LOST(2016, Level.INFO, "A backend server closed its connection before the answer was complete."),
    REQUEST_NOT_SENT(2017, Level.INFO, "A request was not sent to a server, since its caller had left."),
    BACKEND_SUSPECTED(2101, Level.WARN, "A backend server is suspected and gets no new work for a while."),
    BACKEND_LEAVING(2102, Level.INFO, "A backend server is leaving and gets no new work."),
    BACKEND_LISTED(2103, Level.INFO, "A backend server's entry is new or has changed."),
    BACKEND_REMOVED(2104, Level.INFO, "A backend server's entry is gone, and the server gets no new work."),
    BACKEND_UNREADABLE(2105, Level.WARN, "An entry in the list of backend servers describes no usable server."),
    BACKENDS_LISTED(2106, Level.INFO, "Several backend servers' entries are new or have changed."),
    BACKENDS_REMOVED(2107, Level.INFO, "Several backend servers' entries are gone, and the servers get no new work."),
    BACKEND_PAUSED(2108, Level.INFO, "A backend server asked to be sent no requests for a while."),
    BACKEND_BAD_PAUSE(
            2109, Level.WARN, "A backend server sent a pause or a limit that could not be parsed; it is ignored."),
    BACKEND_LIMITED(
            2110, Level.INFO, "A backend server accepts only so many requests per second from all nodes together."),
    BACKEND_LIMIT_ENDED(2111, Level.INFO, "A backend server no longer limits the rate of its requests."),
    ZONE_SPILL_STARTED(
            2112, Level.INFO, "Part of a zone's requests is sent to other zones, whose servers have shorter waits."),
    ZONE_SPILL_ENDED(2113, Level.INFO, "A zone's requests stay in the zone again."),
    BACKEND_BAD_LOAD(2114, Level.WARN, "A backend server sent a load header of which a part is invalid and not used."),
    PROMPT_PART_QUARANTINED(
            2201, Level.WARN, "Requests with prompt parts under which backend servers crash are rejected for a while."),
    PROMPT_PART_TRIED(2202, Level.INFO, "A request with quarantined prompt parts is sent to a server as a trial."),
    PROMPT_PART_RELEASED(2203, Level.INFO, "A quarantine of prompt parts ended, since they were answered or not seen."),
    MEMBER_JOINED(3001, Level.INFO, "An entry node joined."),
    MEMBER_SUSPECTED(3002, Level.WARN, "An entry node does not answer."),
    MEMBER_DEAD(3003, Level.WARN, "An entry node is considered dead."),
    MEMBER_LEAVING(3004, Level.INFO, "An entry node is leaving."),
    MEMBERS_JOINED(3005, Level.INFO, "Several entry nodes joined at once."),
    ROSTER_CHANGED(3101, Level.INFO, "The owners of idempotency keys changed."),
    CLAIM_UNDECIDED(3102, Level.WARN, "It could not be determined whether an idempotency key was used."),
    ROSTER_UNREADABLE(3103, Level.ERROR, "The owners of idempotency keys in the platform's service could not be read."),
    PEER_FRAME_REJECTED(3201, Level.WARN, "A frame from an entry node could not be read and was dropped."),
    PEER_LINK_REPLACED(3202, Level.WARN, "A connection to an entry node stopped responding and is replaced."),
    CONFIG_APPLIED(4001, Level.INFO, "A configuration was applied on this node."),
    CONFIG_REJECTED(4002, Level.ERROR, "A configuration from the platform's service could not be used."),
    CALLS_HELD(4003, Level.INFO, "Requests that arrived before the node had a configuration are now handled."),
    CONFIG_KEPT(
            4004,
            Level.WARN,
            "The service came back with an older configuration than the one in force, which is kept."),
    PLATFORM_UNAVAILABLE(4101, Level.WARN, "The platform's service does not answer."),
    PLATFORM_AVAILABLE(4102, Level.INFO, "The platform's service answers again."),
    PLATFORM_RESTORED(4103, Level.WARN, "The platform's service came back from an older copy."),
    DUTY_TAKEN(4201, Level.INFO, "The node became leader and performs the duties towards the platform."),
    DUTY_LOST(4202, Level.WARN, "The node is no longer leader and performs no duties towards the platform."),
    DUTY_CALL_FAILED(4203, Level.WARN, "A call for a duty did not take effect."),
    USAGE_REPORTED(4204, Level.INFO, "The usage of a time window was reported."),
    SERVERS_ORDERED(4205, Level.INFO, "Backend servers were ordered or released."),
    USE_READ(4206, Level.INFO, "The usage of all nodes from before this one started was read."),
    ORDER_DECIDED(4207, Level.INFO, "The numbers of backend servers needed differ from the current ones."),
    ROLLOUT_MOVED(5001, Level.INFO, "The share of a rollout's new version changed."),
    VERSION_CONDEMNED(5002, Level.WARN, "A version is condemned and gets no new work."),
    ROLLOUT_ENDED(5003, Level.INFO, "A rollout was completed or rolled back."),
    ROLLOUT_ORDERED(5004, Level.INFO, "Operators requested a rollout through the platform."),
    ROLLOUT_ORDER_UNREADABLE(5005, Level.WARN, "An order for a rollout could not be read.");

    private final int number;
    private final Level level;
    private final String meaning;

    EventCode(int number, Level level, String meaning) {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    /**
     * Returns the event's number.
     *
     * @return the number, unique in the catalogue
     */
    public int number() {
        return number;
    }

    /**
     * Returns the level at which the event is logged.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }

    /**
     * Returns the meaning of the event.
     *
     * @return one sentence
     */
    public String meaning() {
        return meaning;
    }

    /** The severity of an event. */
    public enum Level {
        /** Normal operation. */
        INFO,
        /** Handled by the node, but may need attention. */
        WARN,
        /** Needs action by an operator. */
        ERROR
    }
}
