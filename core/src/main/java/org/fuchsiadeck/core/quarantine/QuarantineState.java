package org.fuchsiadeck.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.fuchsiadeck.core.View;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Peers;
import org.fuchsiadeck.core.model.Rendezvous;

import static java.util.Objects.requireNonNull;

/**
 * The lost and answered prompt parts that a node knows of, and the quarantines in force.
 *
 * @param losses the recent losses of all nodes that may be due to a part
 * @param answered the parts of answered requests
 * @param servers the latest time of dispatch, in milliseconds, of an attempt that a server with a loss answered
 * @param quarantines the quarantines, by their parts
 * @param peers the other nodes after the last change
 * @param timing what is scheduled
 * @param unsent what the other nodes have not been told yet
 */
public record QuarantineState(
        Losses losses,
        AnsweredParts answered,
        Map<BackendId, Long> servers,
        Map<TreeSet<String>, Quarantine> quarantines,
        Peers peers,
        Timing timing,
        UnsentNews unsent) {
    private static final int MAX_LOSSES = 512;
    private static final int MAX_SEEN = 16_384;
    private static final int MAX_QUARANTINES = 64;
    private static final long LOSS_RETENTION_MS = 60_000;

    /** How long a quarantine is kept after the time from which a request may be tried, if none comes. */
    private static final long QUARANTINE_RETENTION_MS = 600_000;

    /** Time between the nodes' turns to try a request, so that only one is lost if the parts still crash servers. */
    private static final long TRIAL_STAGGER_MS = 5_000;

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    public QuarantineState {
        requireNonNull(losses, "losses");
        requireNonNull(answered, "answered");
        requireNonNull(servers, "servers");
        requireNonNull(quarantines, "quarantines");
        requireNonNull(peers, "peers");
        requireNonNull(timing, "timing");
        requireNonNull(unsent, "unsent");
    }

    /**
     * What is scheduled, so that each is scheduled once.
     *
     * @param ticking whether the next exchange with other nodes is scheduled
     * @param reviewing whether the next review of the losses is scheduled
     * @param reviewUntilMs the time until which losses are reviewed, in milliseconds
     * @param sending whether sending of news is scheduled
     * @param sentMs when news were last sent, in milliseconds
     */
    record Timing(boolean ticking, boolean reviewing, long reviewUntilMs, boolean sending, long sentMs) {
        private static final Timing NONE = new Timing(false, false, 0, false, Long.MIN_VALUE / 2);

        Timing withTicking(boolean next) {
            return new Timing(next, reviewing, reviewUntilMs, sending, sentMs);
        }

        Timing withReview(boolean next, long untilMs) {
            return new Timing(ticking, next, untilMs, sending, sentMs);
        }

        Timing withSending(boolean next, long ms) {
            return new Timing(ticking, reviewing, reviewUntilMs, next, ms);
        }
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @return the initial state
     */
    public static QuarantineState initial() {
        return new QuarantineState(
                Losses.NONE,
                AnsweredParts.NONE,
                HashMap.empty(),
                HashMap.empty(),
                Peers.NONE,
                Timing.NONE,
                UnsentNews.NONE);
    }

    /** What may be done with a request. */
    public enum Verdict {
        /** The request may be sent to a backend server. */
        ALLOWED,
        /** The request may be sent to a backend server as a trial, alone. */
        TRIAL,
        /** The request is rejected. */
        REJECTED
    }

    /**
     * The decision on a request.
     *
     * @param verdict what may be done
     * @param retryAfterMs the time after which a rejected request may be tried, in milliseconds
     */
    public record Decision(Verdict verdict, long retryAfterMs) {
        private static final Decision ALLOWED = new Decision(Verdict.ALLOWED, 0);
        private static final Decision TRIAL = new Decision(Verdict.TRIAL, 0);
    }

    /**
     * Decides whether a request may be sent to a backend server.
     *
     * @param view the time and the other nodes
     * @param parts the parts of the request's prompt that other prompts may contain too
     * @return the decision
     */
    public Decision check(View view, Collection<String> parts) {
        if (quarantines.isEmpty() || parts.isEmpty()) {
            return Decision.ALLOWED;
        }
        Decision decision = Decision.ALLOWED;
        for (Quarantine quarantine : quarantines.values().filter(q -> q.covers(parts))) {
            if (!mayTry(view, quarantine)) {
                long waitMs = Math.max(MIN_RETRY_AFTER_MS, quarantine.untilMs() - view.nowMs());
                return new Decision(Verdict.REJECTED, waitMs);
            }
            decision = Decision.TRIAL;
        }
        return decision;
    }

    private static boolean mayTry(View view, Quarantine quarantine) {
        long now = view.nowMs();
        if (now < quarantine.untilMs() || now < quarantine.trialEndMs()) {
            return false;
        }
        List<NodeId> nodes = new ArrayList<>(view.peers().alive().keySet());
        nodes.add(view.self().id());
        int rank = Rendezvous.rank(quarantine.parts().mkString(","), nodes, NodeId::value)
                .indexOf(view.self().id());
        return now >= quarantine.untilMs() + rank * TRIAL_STAGGER_MS;
    }

    /**
     * Returns whether an answer to a part matters: it is in quarantine, or a recorded loss may be due to it.
     *
     * @param part the part
     * @return whether the part is under suspicion
     */
    public boolean isSuspect(String part) {
        return hasCountedLoss(part) || quarantines.keySet().exists(q -> q.contains(part));
    }

    /** Returns whether a recorded loss may be due to a part. */
    boolean hasCountedLoss(String part) {
        return losses.ofPart(part).exists(l -> CrashRule.isCounted(l, part, answered));
    }

    /**
     * Returns whether an answer of a server matters: it shows that the server did not crash at a recorded loss.
     *
     * @param server the server
     * @param dispatchedMs the time of dispatch of the answered attempt, in milliseconds
     * @return whether the attempt was dispatched after a loss
     */
    public boolean isLossBefore(BackendId server, long dispatchedMs) {
        return losses.ofServer(server).exists(l -> l.lostMs() < dispatchedMs);
    }

    /**
     * Returns the state after a loss, with the quarantine that it renews.
     *
     * @param loss the loss
     * @param nowMs the time, in milliseconds
     * @return the next state, without the loss if it is known, none of its parts can be to blame, or there are too many
     */
    QuarantineState withLoss(PromptLoss loss, long nowMs) {
        if (losses.isSeen(loss) || losses.seenSize() >= MAX_SEEN) {
            return this;
        }
        Losses seen = losses.withSeen(loss, nowMs);
        if (losses.size() >= MAX_LOSSES || !isOpen(loss)) {
            return withLosses(seen);
        }
        QuarantineState next = withLosses(seen.with(loss));
        Option<Quarantine> known = quarantines.values().find(q -> q.explains(loss));
        return known.filter(q -> q.isConfirmedBy(loss))
                .map(q -> next.withQuarantine(q.renewed(nowMs)))
                .getOrElse(next);
    }

    /** Starts the quarantines that follow from the losses. */
    QuarantineState reviewed(long nowMs) {
        QuarantineState next = this;
        for (String part : losses.byPart().keySet()) {
            if (losses.byPart().get(part).get().size() < CrashRule.MIN_CRASHES) {
                continue;
            }
            Vector<PromptLoss> unexplained = losses.ofPart(part)
                    .toVector()
                    .reject(l -> quarantines.values().exists(q -> q.explains(l)));
            Option<Quarantine> verdict = CrashRule.verdict(part, unexplained, answered, nowMs);
            next = verdict.isDefined() ? next.withQuarantine(verdict.get()) : next;
        }
        return next;
    }

    /** Records that a server is up: losses there before the dispatch of the attempt that it answered were no crashes. */
    QuarantineState withServerAnswer(BackendId server, long dispatchedMs) {
        if (!isLossBefore(server, dispatchedMs)) {
            return this;
        }
        Map<BackendId, Long> next = servers.put(server, dispatchedMs, Math::max);
        QuarantineState known = new QuarantineState(losses, answered, next, quarantines, peers, timing, unsent);
        return known.withLosses(losses.withoutIf(losses.ofServer(server), l -> !known.isOpen(l)));
    }

    /** Adds or replaces a quarantine, unless one of fewer parts covers it already. */
    QuarantineState withQuarantine(Quarantine quarantine) {
        TreeSet<String> parts = quarantine.parts();
        boolean covered = quarantines.keySet().exists(q -> q.size() < parts.size() && parts.containsAll(q));
        Map<TreeSet<String>, Quarantine> rest =
                quarantines.filterKeys(q -> q.size() <= parts.size() || !q.containsAll(parts));
        boolean full = rest.size() >= MAX_QUARANTINES && !rest.containsKey(parts);
        return covered || full ? this : withQuarantines(rest.put(parts, quarantine));
    }

    /** Records an answer: losses of attempts before it are not due to the part, and it leaves its quarantines. */
    QuarantineState withAnswer(String part, long atMs) {
        boolean suspect = isSuspect(part);
        QuarantineState next =
                new QuarantineState(losses, answered.with(part, atMs), servers, quarantines, peers, timing, unsent);
        if (!suspect) {
            return next;
        }
        QuarantineState known = next;
        next = known.withLosses(losses.withoutIf(losses.ofPart(part), l -> !known.isOpen(l)));
        for (Quarantine quarantine : quarantines.values().filter(q -> q.parts().contains(part))) {
            QuarantineState rest = next.withQuarantines(next.quarantines.remove(quarantine.parts()));
            next = quarantine.without(next.answered).map(rest::withQuarantine).getOrElse(rest);
        }
        return next;
    }

    QuarantineState withTrial(Collection<String> parts, long endMs) {
        return withQuarantines(quarantines.mapValues(q -> q.covers(parts) ? q.withTrial(endMs) : q));
    }

    QuarantineState withPeers(Peers next) {
        return new QuarantineState(losses, answered, servers, quarantines, next, timing, unsent);
    }

    QuarantineState with(Timing next) {
        return new QuarantineState(losses, answered, servers, quarantines, peers, next, unsent);
    }

    QuarantineState with(UnsentNews next) {
        return new QuarantineState(losses, answered, servers, quarantines, peers, timing, next);
    }

    QuarantineState withoutExpired(long nowMs) {
        Map<BackendId, Long> recent = servers.filterValues(ms -> ms > nowMs - LOSS_RETENTION_MS);
        return new QuarantineState(losses, answered, recent, quarantines, peers, timing, unsent)
                .withLosses(losses.withoutIf(losses.all(), l -> l.lostMs() <= nowMs - LOSS_RETENTION_MS)
                        .withoutSeenBefore(nowMs - LOSS_RETENTION_MS))
                .withQuarantines(quarantines.filterValues(q -> q.untilMs() > nowMs - QUARANTINE_RETENTION_MS));
    }

    boolean isEmpty() {
        return losses.isEmpty() && quarantines.isEmpty();
    }

    /** Returns whether a loss may be due to one of its parts. */
    private boolean isOpen(PromptLoss loss) {
        boolean serverUp = servers.get(loss.server()).exists(ms -> ms > loss.lostMs());
        return !serverUp && loss.parts().exists(p -> CrashRule.isCounted(loss, p, answered));
    }

    private QuarantineState withLosses(Losses next) {
        return new QuarantineState(next, answered, servers, quarantines, peers, timing, unsent);
    }

    private QuarantineState withQuarantines(Map<TreeSet<String>, Quarantine> next) {
        return new QuarantineState(losses, answered, servers, next, peers, timing, unsent);
    }
}
