package org.fuchsiadeck.core.request;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendReport;
import org.fuchsiadeck.core.model.EngineTime;
import org.fuchsiadeck.core.routing.ServerEstimates;
import org.fuchsiadeck.core.share.ShareState;
import org.fuchsiadeck.core.speed.SpeedState;

/**
 * Applies reports and observed times to the estimates of server speed, only for services whose servers report a
 * slowdown.
 */
final class ServerSpeeds {
    private ServerSpeeds() {}

    /** Returns the estimates by which a server is chosen for a request. */
    static ServerEstimates estimates(RequestReduction reduction, ActiveRequest request) {
        String service = request.route().service();
        if (!isOn(reduction, service)) {
            return ServerEstimates.standard(reduction.view().self().zone());
        }
        ShareState usage = reduction.view().usage();
        reduction.updateSpeeds(s -> s.refreshed(
                service, reduction.state().fleet().servers(), usage::serverTimesElsewhere, reduction.nowMs()));
        return reduction
                .state()
                .speeds()
                .estimates(service, reduction.view().self().zone(), reduction.nowMs());
    }

    /** Estimates the server time of a request, in milliseconds. */
    static double requestMs(RequestReduction reduction, ActiveRequest request, int unread, int maxTokens) {
        String service = request.route().service();
        double tokensPerMs = isOn(reduction, service)
                ? reduction.state().speeds().tokensPerMs(service).orElse(EngineTime.PREFILL_TOKENS_PER_MS)
                : EngineTime.PREFILL_TOKENS_PER_MS;
        return EngineTime.estimateRequestMs(unread, maxTokens, tokensPerMs);
    }

    static void applyReport(RequestReduction reduction, Backend backend, BackendReport report) {
        report.load().ifPresent(l -> reduction.updateSpeeds(s -> s.withReport(backend.id(), l, reduction.nowMs())));
    }

    /**
     * Learns from the first byte of an attempt's answer: of a stream, or of a service without prompts. A whole
     * completion takes longer than its first token, and a resumed stream is read from a cache.
     */
    static void observeFirstByte(RequestReduction reduction, Attempt attempt) {
        Backend backend = attempt.backend();
        boolean resumed = attempt.startTokens() > 0;
        if (attempt.firstByteMs() >= 0 || attempt.trial() || resumed || !isOn(reduction, backend.service())) {
            return;
        }
        long now = reduction.nowMs();
        ShareState usage = reduction.view().usage();
        int others = attempt.load() + usage.inFlightElsewhere(now, backend.id());
        int unreadAhead = attempt.unreadAhead() + usage.unreadElsewhere(now, backend.id());
        if (SpeedState.isNearlyIdle(backend, others, unreadAhead)) {
            reduction.updateSpeeds(
                    s -> s.withObservation(backend, attempt.unread(), Math.max(1, now - attempt.dispatchedMs()), now));
        }
    }

    private static boolean isOn(RequestReduction reduction, String service) {
        return reduction.state().fleet().reportsSlowdown(service);
    }
}
