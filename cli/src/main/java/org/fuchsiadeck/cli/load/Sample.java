package org.fuchsiadeck.cli.load;

import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Measures and checks the answer to one request.
 */
final class Sample implements AnswerHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Planned planned;
    private final String id;
    private final long intendedNs;
    private final TokenCheck check;
    private final LongConsumer gaps;
    private final Consumer<Result> results;
    private long firstNs;
    private long lastNs;
    private StreamEvent last;

    /**
     * Makes a sample.
     *
     * @param planned the request
     * @param id its id
     * @param intendedNs when it should be sent, as {@link System#nanoTime()} counts
     * @param check checks a streamed answer; null for a plain one
     * @param gaps takes the time between tokens, in nanoseconds
     * @param results takes what came of the request
     */
    Sample(Planned planned, String id, long intendedNs, TokenCheck check, LongConsumer gaps, Consumer<Result> results) {
        this.planned = planned;
        this.id = id;
        this.intendedNs = intendedNs;
        this.check = check;
        this.gaps = gaps;
        this.results = results;
    }

    @Override
    public void event(StreamEvent event) {
        last = event;
        if (event.kind() == StreamEvent.Kind.TOKEN) {
            token(event, System.nanoTime());
        }
    }

    private void token(StreamEvent event, long now) {
        if (firstNs == 0) {
            firstNs = now;
        } else {
            gaps.accept(now - lastNs);
        }
        lastNs = now;
        if (check != null) {
            check.take(event.index(), event.text());
        }
    }

    @Override
    public void ended(Ending ending) {
        long now = System.nanoTime();
        Outcome outcome = Outcome.of(ending, last);
        int gapCount = check == null ? 0 : check.tokens() - 1;
        results.accept(new Result(
                planned,
                outcome,
                outcome == Outcome.ANSWERED ? "" : reason(ending),
                now - intendedNs,
                firstNs == 0 ? 0 : firstNs - intendedNs,
                gapCount < 1 ? 0 : (lastNs - firstNs) / gapCount,
                flaw(ending, outcome),
                last == null ? StreamEvent.Usage.NONE : last.usage()));
    }

    private Result.Flaw flaw(Ending ending, Outcome outcome) {
        if (check != null) {
            return streamFlaw(ending, outcome);
        }
        boolean wrong = outcome == Outcome.ANSWERED
                && planned.request().kind() == RequestMix.Kind.ENTRY
                && !json(ending).path("entry").asText().equals(id);
        return wrong ? Result.Flaw.WRONG : Result.Flaw.NONE;
    }

    private Result.Flaw streamFlaw(Ending ending, Outcome outcome) {
        if (!check.isRight() || outcome == Outcome.ANSWERED && !check.isWhole()) {
            return Result.Flaw.WRONG;
        }
        boolean begun = ending.head().streamed();
        boolean told = last != null && last.kind() != StreamEvent.Kind.TOKEN;
        return begun && !told ? Result.Flaw.CUT : Result.Flaw.NONE;
    }

    private String reason(Ending ending) {
        if (ending.step() != Step.DONE) {
            return ending.detail();
        }
        if (last != null && last.kind() == StreamEvent.Kind.ERROR) {
            return last.text();
        }
        String error = json(ending).path("error").asText();
        return error.isEmpty() ? "status " + ending.head().status() : error;
    }

    private static JsonNode json(Ending ending) {
        try {
            return JSON.readTree(ending.body());
        } catch (IOException e) {
            return JSON.missingNode();
        }
    }
}
