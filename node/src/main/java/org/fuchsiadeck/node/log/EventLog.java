package org.fuchsiadeck.node.log;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.EventCode;
import org.fuchsiadeck.node.run.EffectHandler;
import org.jboss.logging.Logger;

/**
 * Writes numbered events. Each becomes one line of JSON with the fields {@code event}, {@code name} and {@code detail}
 * besides those of every line.
 */
public final class EventLog implements EffectHandler<Effect.Log> {
    private static final Logger LOG = Logger.getLogger("org.fuchsiadeck.events");

    @Override
    public void handle(Effect.Log effect) {
        write(effect.code(), effect.detail());
    }

    /**
     * Writes an event.
     *
     * @param code what happened
     * @param detail free text that names the ids and values concerned
     */
    public void write(EventCode code, String detail) {
        LOG.logf(level(code), "%s %s", code, detail);
    }

    private static Logger.Level level(EventCode code) {
        return switch (code.level()) {
            case INFO -> Logger.Level.INFO;
            case WARN -> Logger.Level.WARN;
            case ERROR -> Logger.Level.ERROR;
        };
    }
}
