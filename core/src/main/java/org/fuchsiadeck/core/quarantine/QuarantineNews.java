package org.fuchsiadeck.core.quarantine;

import java.util.List;

import io.vavr.collection.TreeSet;
import org.fuchsiadeck.core.PeerMessage;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * Message between entry nodes about prompt parts. Times are given as ages, since the nodes' clocks differ. May be lost,
 * repeated or late.
 *
 * @param losses lost attempts
 * @param quarantines quarantines in force
 * @param answers answered parts that were under suspicion
 * @param servers servers with a loss that answered an attempt dispatched after it
 */
public record QuarantineNews(List<Loss> losses, List<Entry> quarantines, List<Answer> answers, List<LiveServer> servers)
        implements PeerMessage {
    public QuarantineNews {
        losses = List.copyOf(losses);
        quarantines = List.copyOf(quarantines);
        answers = List.copyOf(answers);
        servers = List.copyOf(servers);
    }

    boolean isEmpty() {
        return losses.isEmpty() && quarantines.isEmpty() && answers.isEmpty() && servers.isEmpty();
    }

    /**
     * A lost attempt.
     *
     * @param server the server
     * @param request the request
     * @param parts the parts of its prompt
     * @param dispatchedAgoMs the time since its dispatch, in milliseconds
     * @param lostAgoMs the time since its loss, in milliseconds
     */
    public record Loss(BackendId server, RequestId request, List<String> parts, long dispatchedAgoMs, long lostAgoMs) {
        public Loss {
            requireNonNull(server, "server");
            requireNonNull(request, "request");
            parts = List.copyOf(parts);
        }

        static Loss of(PromptLoss loss, long nowMs) {
            return new Loss(
                    loss.server(),
                    loss.request(),
                    loss.parts().toJavaList(),
                    nowMs - loss.dispatchedMs(),
                    nowMs - loss.lostMs());
        }

        PromptLoss at(long nowMs) {
            return PromptLoss.of(server, request, parts, nowMs - dispatchedAgoMs, nowMs - lostAgoMs);
        }
    }

    /**
     * A quarantine.
     *
     * @param parts the parts
     * @param firstLossAgoMs the time since the first loss that it is based on, in milliseconds
     * @param ageMs the time since it began, in milliseconds
     * @param level how often it has begun
     */
    public record Entry(List<String> parts, long firstLossAgoMs, long ageMs, int level) {
        public Entry {
            parts = List.copyOf(parts);
        }

        static Entry of(Quarantine quarantine, long nowMs) {
            return new Entry(
                    quarantine.parts().toJavaList(),
                    nowMs - quarantine.firstLossMs(),
                    nowMs - quarantine.sinceMs(),
                    quarantine.level());
        }

        Quarantine at(long nowMs) {
            return new Quarantine(TreeSet.ofAll(parts), nowMs - firstLossAgoMs, nowMs - ageMs, level, 0);
        }
    }

    /**
     * An answered part.
     *
     * @param part the part
     * @param agoMs the time since its last answer, in milliseconds
     */
    public record Answer(String part, long agoMs) {
        public Answer {
            requireNonNull(part, "part");
        }
    }

    /**
     * A server that did not crash.
     *
     * @param server the server
     * @param dispatchedAgoMs the time since the dispatch of the attempt that it answered, in milliseconds
     */
    public record LiveServer(BackendId server, long dispatchedAgoMs) {
        public LiveServer {
            requireNonNull(server, "server");
        }
    }
}
