package org.fuchsiadeck.cli.state;

import io.vavr.control.Either;
import org.fuchsiadeck.node.platform.HttpAnswer;
import org.fuchsiadeck.node.platform.HttpCall;
import org.fuchsiadeck.node.platform.HttpCalls;
import org.fuchsiadeck.node.platform.HttpFailure;

/**
 * Calls a node's operators' address and waits for the answer.
 */
@FunctionalInterface
public interface OperatorCalls {
    /**
     * Makes a call.
     *
     * @param call the call
     * @return the answer, or what went wrong
     */
    Either<HttpFailure, HttpAnswer> make(HttpCall call);

    /**
     * Returns calls over HTTP.
     *
     * @return the calls
     */
    static OperatorCalls http() {
        return call -> {
            try (HttpCalls http = new HttpCalls()) {
                return http.call(call).toCompletableFuture().join();
            }
        };
    }
}
