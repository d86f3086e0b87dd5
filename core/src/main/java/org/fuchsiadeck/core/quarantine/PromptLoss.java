package org.fuchsiadeck.core.quarantine;

import java.util.Collection;

import io.vavr.collection.TreeSet;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.RequestId;

import static java.util.Objects.requireNonNull;

/**
 * An attempt that ended because its backend server closed the connection before or as the answer began.
 *
 * @param server the server; a server that starts again has another id
 * @param request the request
 * @param parts the parts of the request's prompt that other prompts may contain too
 * @param dispatchedMs the time of dispatch, in milliseconds
 * @param lostMs the time of the loss, in milliseconds
 */
public record PromptLoss(BackendId server, RequestId request, TreeSet<String> parts, long dispatchedMs, long lostMs) {
    public PromptLoss {
        requireNonNull(server, "server");
        requireNonNull(request, "request");
        requireNonNull(parts, "parts");
    }

    /**
     * Creates a loss from a collection of parts.
     *
     * @param server the server
     * @param request the request
     * @param parts the parts of the request's prompt
     * @param dispatchedMs the time of dispatch, in milliseconds
     * @param lostMs the time of the loss, in milliseconds
     * @return the loss
     */
    public static PromptLoss of(
            BackendId server, RequestId request, Collection<String> parts, long dispatchedMs, long lostMs) {
        return new PromptLoss(server, request, TreeSet.ofAll(parts), dispatchedMs, lostMs);
    }
}
