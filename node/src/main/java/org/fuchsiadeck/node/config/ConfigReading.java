package org.fuchsiadeck.node.config;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.config.ConfigEffect;
import org.fuchsiadeck.core.config.ConfigEvent;
import org.fuchsiadeck.core.config.Configuration;

import static java.util.Objects.requireNonNull;
import static java.util.stream.Collectors.joining;

/**
 * Runs the {@link ConfigEffect}s of the core: reads values as configurations, off the thread of the decisions.
 */
public final class ConfigReading {
    private static final int ERRORS_REPORTED = 5;

    private final Executor executor;
    private final Consumer<Event> post;
    private final Form form;

    /**
     * Makes a reader.
     *
     * @param executor where texts are read; a large one takes some time
     * @param post takes the events, from the executor's threads
     */
    public ConfigReading(Executor executor, Consumer<Event> post) {
        this(executor, post, ConfigReading::read);
    }

    /**
     * Makes a reader of another form of the configuration.
     *
     * @param executor where the reading is done
     * @param post takes what comes of it; called on the executor's threads
     * @param form reads a value
     */
    public ConfigReading(Executor executor, Consumer<Event> post, Form form) {
        this.executor = requireNonNull(executor, "executor");
        this.post = requireNonNull(post, "post");
        this.form = requireNonNull(form, "form");
    }

    /** How a configuration is written down. */
    @FunctionalInterface
    public interface Form {
        /**
         * Reads a value of the platform's service.
         *
         * @param value the value
         * @param revision its revision
         * @return the configuration, or what is wrong
         */
        Either<String, Configuration> read(String value, long revision);
    }

    /**
     * Starts reading a value and returns at once. Posts one {@link ConfigEvent.Parsed} or
     * {@link ConfigEvent.Rejected}.
     *
     * @param effect the value
     */
    public void run(ConfigEffect effect) {
        if (effect instanceof ConfigEffect.Parse parse) {
            executor.execute(() -> post.accept(event(parse)));
        }
    }

    /**
     * Reads a value of the platform's service.
     *
     * @param value the value
     * @param revision its revision
     * @return the configuration, or what is wrong
     */
    public static Either<String, Configuration> read(String value, long revision) {
        return Envelope.parse(value)
                .flatMap(e -> ConfigParser.parse(e.text(), revision).mapLeft(ConfigReading::summary));
    }

    private ConfigEvent event(ConfigEffect.Parse parse) {
        return form.read(parse.value(), parse.revision())
                .fold(
                        detail -> new ConfigEvent.Rejected(parse.revision(), detail, parse.source()),
                        c -> new ConfigEvent.Parsed(c, parse.value(), parse.source()));
    }

    private static String summary(List<ConfigError> errors) {
        String text = errors.stream()
                .limit(ERRORS_REPORTED)
                .map(ConfigError::toString)
                .collect(joining("; "));
        int more = errors.size() - ERRORS_REPORTED;
        return more > 0 ? text + "; and " + more + " more" : text;
    }
}
