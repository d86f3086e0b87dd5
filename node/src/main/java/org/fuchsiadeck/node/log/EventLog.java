package org.fuchsiadeck.node.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.node.run.EffectHandler;
import org.jboss.logging.Logger;

/**
 * Writes numbered events to the log. Each kind of event has a rate; what goes beyond it is counted, and the next line of
 * the kind says how many were left out.
 */
public final class EventLog implements EffectHandler<Effect.Log> {
    private static final Logger LOG = Logger.getLogger("org.fuchsiadeck.events");

    /** Lines a second of one kind: a few times what a small node's requests give. */
    private static final double LINES_PER_SECOND = 100;

    /** Lines of one kind at once. */
    private static final double BURST_LINES = 200;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<EventCode, Rate> rates = new EnumMap<>(EventCode.class);

    /**
     * An event that is written.
     *
     * @param log the event
     * @param leftOut events of its kind that were not written before it
     */
    record Line(Effect.Log log, long leftOut) {
        @Override
        public String toString() {
            String text = log.fields().isEmpty() ? log.detail() : log.fields() + " " + log.detail();
            return leftOut > 0 ? text + " (" + leftOut + " left out before)" : text;
        }
    }

    private static final class Rate {
        private double tokens = BURST_LINES;
        private long sinceNanos = System.nanoTime();
        private long leftOut;

        private boolean take() {
            long now = System.nanoTime();
            tokens = Math.min(BURST_LINES, tokens + (now - sinceNanos) / NANOS_PER_SECOND * LINES_PER_SECOND);
            sinceNanos = now;
            if (tokens < 1) {
                leftOut++;
                return false;
            }
            tokens--;
            return true;
        }
    }

    @Override
    public void handle(Effect.Log effect) {
        long leftOut;
        synchronized (rates) {
            Rate rate = rates.computeIfAbsent(effect.code(), c -> new Rate());
            if (!rate.take()) {
                return;
            }
            leftOut = rate.leftOut;
            rate.leftOut = 0;
        }
        LOG.logf(level(effect.code()), "%2$s %1$s", new Line(effect, leftOut), effect.code());
    }

    /**
     * Writes an event.
     *
     * @param code what happened
     * @param detail the ids and values concerned
     */
    public void write(EventCode code, String detail) {
        handle(new Effect.Log(code, detail));
    }

    private static Logger.Level level(EventCode code) {
        return switch (code.level()) {
            case INFO -> Logger.Level.INFO;
            case WARN -> Logger.Level.WARN;
            case ERROR -> Logger.Level.ERROR;
        };
    }
}
