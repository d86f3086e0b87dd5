package org.fuchsiadeck.testbed.app;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiadeck.testbed.http.Exchange;
import org.fuchsiadeck.testbed.http.Json;
import org.fuchsiadeck.testbed.http.Routes;

import static org.fuchsiadeck.testbed.app.AppFault.Kind;
import static org.fuchsiadeck.testbed.app.AppFault.Step;

/**
 * One request to an application, with the fault that it shows.
 */
final class Call {
    private final Exchange x;

    private final String entry;

    private final AppFault fault;

    private final String version;

    private final Consumer<Exchange> headers;

    private final ScheduledExecutorService timer;

    Call(
            Exchange x,
            String entry,
            AppFault fault,
            String version,
            Consumer<Exchange> headers,
            ScheduledExecutorService timer) {
        this.x = x;
        this.entry = entry;
        this.fault = fault;
        this.version = version;
        this.headers = headers;
        this.timer = timer;
    }

    String entry() {
        return entry;
    }

    long delayBeforeMs() {
        return has(Kind.SLOW) ? fault.delayMs() : 0;
    }

    /** Ends the call before it runs if its fault says so. */
    boolean failsEarly() {
        if (has(Kind.REFUSE)) {
            headers.accept(x);
            x.set("X-Not-Run", "1").set("Retry-After", "1").json(503, new Routes.Problem("refused"));
            return true;
        }
        if (has(Kind.FAIL, Step.BEFORE_RUNNING)) {
            fail();
            return true;
        }
        if (has(Kind.CLOSE, Step.BEFORE_RUNNING)) {
            x.drop();
            return true;
        }
        return false;
    }

    /** Answers a call that has run. */
    void finish(int runs) {
        String shown = has(Kind.WRONG_ID) ? "not-" + entry : entry;
        answer(201, new Ran(shown, runs, version));
    }

    /** Answers a call that changes nothing. */
    void finishGet() {
        answer(200, new Read("/" + String.join("/", x.path()), version));
    }

    private void answer(int status, Object body) {
        if (has(Kind.LATE)) {
            timer.schedule(() -> send(status, body), fault.delayMs(), TimeUnit.MILLISECONDS);
        } else {
            send(status, body);
        }
    }

    private void send(int status, Object body) {
        if (has(Kind.CLOSE, Step.AFTER_RUNNING)) {
            x.drop();
        } else if (has(Kind.FAIL, Step.AFTER_RUNNING)) {
            fail();
        } else {
            headers.accept(x);
            sendWhole(status, body);
        }
    }

    private void sendWhole(int status, Object body) {
        if (has(Kind.WRONG_ID)) {
            x.set("X-Request-Id", "not-" + x.header("X-Request-Id"));
        }
        if (has(Kind.CLOSE, Step.MID_ANSWER)) {
            x.half(status, body);
        } else if (has(Kind.DUPLICATE)) {
            sendTwice(status, body);
        } else {
            x.json(status, body);
        }
    }

    private void sendTwice(int status, Object body) {
        byte[] json = Json.write(body).getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " Again\r\nContent-Type: application/json;charset=UTF-8\r\n"
                + "X-Request-Id: " + x.header("X-Request-Id") + "\r\nX-Attempt: " + x.header("X-Attempt")
                + "\r\nX-Version: " + version + "\r\nContent-Length: " + json.length + "\r\n\r\n";
        byte[] again = (head + new String(json, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
        x.jsonThenBytes(status, body, again);
    }

    private void fail() {
        headers.accept(x);
        x.json(500, new Routes.Problem("application fault"));
    }

    private boolean has(Kind kind) {
        return fault != null && fault.kind() == kind;
    }

    private boolean has(Kind kind, Step step) {
        return has(kind) && fault.step() == step;
    }

    private record Ran(String entry, int runs, String version) {}

    private record Read(String path, String version) {}
}
