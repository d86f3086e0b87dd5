package org.fuchsiadeck.core.quarantine;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.fuchsiadeck.core.model.BackendId;

import static java.util.Objects.requireNonNull;

/**
 * What a node has learned and not yet told the other nodes. Gathered for a while, so that the number of messages does not
 * grow with the number of losses.
 *
 * @param losses lost attempts
 * @param started quarantines that have started
 * @param answers answered parts that were under suspicion
 * @param servers servers with a loss that answered an attempt dispatched after it
 */
public record UnsentNews(
        Vector<PromptLoss> losses, Vector<Quarantine> started, Set<String> answers, Set<BackendId> servers) {
    static final UnsentNews NONE = new UnsentNews(Vector.empty(), Vector.empty(), HashSet.empty(), HashSet.empty());

    public UnsentNews {
        requireNonNull(losses, "losses");
        requireNonNull(started, "started");
        requireNonNull(answers, "answers");
        requireNonNull(servers, "servers");
    }

    static UnsentNews ofLosses(Vector<PromptLoss> losses) {
        return new UnsentNews(losses, Vector.empty(), HashSet.empty(), HashSet.empty());
    }

    static UnsentNews ofStarted(Vector<Quarantine> started) {
        return new UnsentNews(Vector.empty(), started, HashSet.empty(), HashSet.empty());
    }

    static UnsentNews ofProofs(Set<String> answers, Set<BackendId> servers) {
        return new UnsentNews(Vector.empty(), Vector.empty(), answers, servers);
    }

    boolean isEmpty() {
        return losses.isEmpty() && started.isEmpty() && answers.isEmpty() && servers.isEmpty();
    }

    UnsentNews and(UnsentNews other) {
        return new UnsentNews(
                losses.appendAll(other.losses),
                started.appendAll(other.started),
                answers.addAll(other.answers),
                servers.addAll(other.servers));
    }

    /** Returns the message, with the times of answers as they are known by now. */
    QuarantineNews message(QuarantineState state, long nowMs) {
        return new QuarantineNews(
                losses.map(l -> QuarantineNews.Loss.of(l, nowMs)).toJavaList(),
                started.map(q -> QuarantineNews.Entry.of(q, nowMs)).toJavaList(),
                answers.toVector()
                        .filter(state.answered()::contains)
                        .map(p -> new QuarantineNews.Answer(
                                p, nowMs - state.answered().lastMs(p)))
                        .toJavaList(),
                servers.toVector()
                        .flatMap(s -> state.servers().get(s).map(ms -> new QuarantineNews.LiveServer(s, nowMs - ms)))
                        .toJavaList());
    }
}
