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
 * Serializes requests to backend servers and parses their answers. All other handling of an attempt is independent of
 * the protocol.
 */
public interface BackendProtocol {
    /**
     * Creates the request of an attempt.
     *
     * @param exchange the caller's request
     * @param dispatch the attempt
     * @param route the request's route; empty if it is no longer configured
     * @param resumeState the tokens delivered by earlier attempts and the KV cache to import
     * @return the complete request
     */
    HttpPacket createRequest(
            Exchange exchange, RequestEffect.Dispatch dispatch, Optional<Route> route, ResumeState resumeState);

    /**
     * Parses the head of an answer.
     *
     * @param head the head
     * @param dispatch the attempt that is waiting for an answer
     * @return the parsed head
     */
    AnswerHead parseHead(HttpResponsePacket head, RequestEffect.Dispatch dispatch);

    /**
     * Creates a reader for the body of a streamed answer.
     *
     * @param resumeIndex the number of tokens or events delivered by earlier attempts
     * @param sink receives the tokens and the end of the stream
     * @return the reader
     */
    AnswerBodyReader createStreamReader(int resumeIndex, StreamSink sink);

    /**
     * The state from which an attempt resumes a request.
     *
     * @param journal the tokens delivered by earlier attempts
     * @param cache the exported KV cache to import; empty if there is none
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
