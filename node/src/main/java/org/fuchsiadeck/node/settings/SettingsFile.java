package org.fuchsiadeck.node.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.duty.DutyRules;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.Rendezvous;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.share.ShareRules;
import org.fuchsiadeck.node.log.LogLevel;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * Reads the settings of a node from a TOML file and checks them whole.
 */
public final class SettingsFile {
    private static final long MAX_MS = 3_600_000;
    private static final double MS_PER_SECOND = 1_000;
    private static final long DEFAULT_POLL_MS = 1_000;
    private static final long DEFAULT_DRAIN_NOTICE_MS = 25_000;
    private static final Address DEFAULT_OPERATORS = new Address("127.0.0.1", 8081);

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or the first error with its position
     */
    public static Either<SettingsError, LoadedSettings> read(Path file) {
        TomlParseResult source;
        try {
            source = Toml.parse(file);
        } catch (IOException e) {
            return Either.left(new SettingsError(file, 1, 1, "the file can't be read: " + e.getMessage()));
        }
        if (source.hasErrors()) {
            TomlParseError first = source.errors().get(0);
            return Either.left(new SettingsError(
                    file, first.position().line(), first.position().column(), first.getMessage()));
        }
        try {
            return Either.right(new LoadedSettings(settings(file, source), file, source));
        } catch (SettingsException e) {
            return Either.left(LoadedSettings.errorAt(file, source, e.key(), e.getMessage()));
        }
    }

    private static Settings settings(Path file, TomlParseResult source) {
        Keys keys = new Keys(source);
        Identity identity = identity(keys);
        Settings settings = new Settings(
                identity,
                keys.parsed("callers.address", Address::parse),
                keys.optional("operators.address", Address::parse).orElse(DEFAULT_OPERATORS),
                keys.optional("operators.ready", Address::parse),
                keys.text("operators.token"),
                keys.optional("peers.bind", Address::parse).orElse(identity.peerAddress()),
                keys.list("peers.seeds", Address::parse),
                keys.parsed("platform.address", Address::parse),
                keys.parsed("cloud.address", Address::parse),
                checked(keys, "cloud.poll_ms", DEFAULT_POLL_MS, 10),
                drainNotice(keys),
                duration(keys, "drain_intake", 0, 0),
                keys.optional("log_level", SettingsFile::level).orElse(LogLevel.INFO),
                configuration(file, keys),
                limits(keys),
                keys.optional("router", RouterChoice::parse)
                        .or(() -> keys.optional("experiment.router", RouterChoice::parse))
                        .orElse(RouterChoice.BETTER_OF_TWO),
                sharing(keys),
                duties(keys));
        keys.refuseUnknown();
        return settings;
    }

    private static ShareRules sharing(Keys keys) {
        ShareRules absent = ShareRules.DEFAULT;
        return new ShareRules(
                duration(keys, "sharing.quota_window", absent.quotaWindowMs(), 1),
                keys.decimal("sharing.quota_overage", absent.quotaOverage()),
                keys.decimal("sharing.quota_slack", absent.quotaSlack()),
                duration(keys, "sharing.retry_window", absent.retryWindowMs(), 1),
                keys.decimal("sharing.retry_ratio", absent.retryRatio()),
                keys.decimal("sharing.retry_slack", absent.retrySlack()),
                duration(keys, "sharing.usage_window", absent.usageWindowMs(), 1));
    }

    private static DutyRules duties(Keys keys) {
        return new DutyRules(
                duration(keys, "duties.lease", DutyRules.DEFAULT.leaseMs(), 1),
                duration(keys, "sharing.usage_window", ShareRules.DEFAULT.usageWindowMs(), 1),
                duration(keys, "duties.usage_late", DutyRules.DEFAULT.usageLateMs(), 1));
    }

    private static Identity identity(Keys keys) {
        NodeId id = keys.parsed("id", NodeId::new);
        return new Identity(
                id,
                keys.parsed("zone", Zone::new),
                keys.parsed("peers.address", Address::parse),
                keys.number("seed", Rendezvous.hash(id.value())));
    }

    private static Optional<Path> configuration(Path file, Keys keys) {
        return keys.optional("configuration", t -> file.toAbsolutePath().resolveSibling(t));
    }

    private static Limits limits(Keys keys) {
        Limits absent = Limits.DEFAULT;
        int body = keys.smallNumber("limits.max_body_bytes", absent.maxBodyBytes());
        int header = keys.smallNumber("limits.max_header_bytes", absent.maxHeaderBytes());
        int answer = keys.smallNumber("limits.max_answer_bytes", absent.maxAnswerBytes());
        long slow = keys.number("limits.slow_sender_timeout_ms", absent.slowSenderTimeoutMs());
        int connections = keys.smallNumber("limits.max_connections", absent.maxConnections());
        int streams = keys.smallNumber("limits.max_streams", absent.maxStreams());
        int buffered = keys.smallNumber("limits.max_buffered_bytes", absent.maxBufferedBytes());
        try {
            return new Limits(body, header, answer, slow, connections, streams, buffered);
        } catch (IllegalArgumentException e) {
            String name = e.getMessage().substring(0, e.getMessage().indexOf(' '));
            throw new SettingsException("limits." + name, e.getMessage());
        }
    }

    private static long drainNotice(Keys keys) {
        return keys.has("drain_notice_s")
                ? duration(keys, "drain_notice", DEFAULT_DRAIN_NOTICE_MS, 1)
                : checked(keys, "drain_notice_ms", DEFAULT_DRAIN_NOTICE_MS, 0);
    }

    /** Reads a time that may be given as {@code key_ms}, a whole number, or as {@code key_s}, with a fraction. */
    private static long duration(Keys keys, String key, long absentMs, long leastMs) {
        String seconds = key + "_s";
        if (!keys.has(seconds)) {
            return checked(keys, key + "_ms", absentMs, leastMs);
        }
        long value = Math.round(keys.decimal(seconds, 0) * MS_PER_SECOND);
        if (value < leastMs || value > MAX_MS) {
            throw new SettingsException(
                    seconds, "must be from " + leastMs / MS_PER_SECOND + " to 3600, was " + value / MS_PER_SECOND);
        }
        return value;
    }

    private static long checked(Keys keys, String key, long absent, long min) {
        long value = keys.number(key, absent);
        if (value < min || value > MAX_MS) {
            throw new SettingsException(key, "must be from " + min + " to 3600000, was " + value);
        }
        return value;
    }

    private static LogLevel level(String text) {
        try {
            return LogLevel.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("must be one of DEBUG, INFO, WARN, ERROR, was " + text, e);
        }
    }
}
