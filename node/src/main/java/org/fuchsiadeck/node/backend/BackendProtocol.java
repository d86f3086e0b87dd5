package org.fuchsiadeck.node.backend;

import java.util.Optional;

import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Journal;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

import static java.util.Objects.requireNonNull;

/**
 * How requests to backend servers are written and how their answers are read. The rest of an attempt is the same for
 * all protocols.
 */
public interface BackendProtocol {
    /**
     * Writes the request of an attempt.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     * @param route the request's route; empty if it is no longer configured
     * @param past what was delivered before, and where it can be taken over from
     * @return the request, whole
     */
    HttpPacket createRequest(
            Exchange exchange, RequestEffect.Dispatch dispatch, Optional<Route> route, ResumeState past);

    /**
     * Reads the head of an answer.
     *
     * @param head the head
     * @param dispatch the attempt that waits for an answer
     * @return what it says
     */
    AnswerHead parseHead(HttpResponsePacket head, RequestEffect.Dispatch dispatch);

    /**
     * Makes the reader of a stream.
     *
     * @param resumedAt tokens, or events, that were delivered before the attempt
     * @param sink takes what comes
     * @return the reader
     */
    AnswerBodyReader createStreamReader(int resumedAt, StreamSink sink);

    /**
     * What came of a request before an attempt.
     *
     * @param journal the tokens delivered
     * @param cache the KV cache that can be taken over
     */
    record ResumeState(Journal journal, Optional<CacheHandle> cache) {
        public ResumeState {
            requireNonNull(journal, "journal");
            requireNonNull(cache, "cache");
        }

        boolean isEmpty() {
            return journal.tokens() == 0 && cache.isEmpty();
        }
    }
}
