package org.fuchsiadeck.cli.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.config.ConfigError;
import org.fuchsiadeck.node.config.ConfigParser;

/**
 * A configuration in a file. The first line may name the revision that the file was made from.
 *
 * @param path the file
 * @param whole all of the file's text
 * @param text the text without that line
 * @param base the revision; empty if the file names none
 */
record ConfigFile(Path path, String whole, String text, OptionalLong base) {
    private static final Pattern HEADER = Pattern.compile("\\A# fuchsiadeck revision (\\d{1,18})\\R");

    /** Reads a file. */
    static ConfigFile read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new ParameterException("the file " + path + " cannot be read: " + e, e);
        }
        Matcher header = HEADER.matcher(text);
        if (!header.find()) {
            return new ConfigFile(path, text, text, OptionalLong.empty());
        }
        OptionalLong base = OptionalLong.of(Long.parseLong(header.group(1)));
        return new ConfigFile(path, text, text.substring(header.end()), base);
    }

    /** Returns the text with a first line that names the revision. */
    static String withHeader(String text, long revision) {
        return "# fuchsiadeck revision " + revision + "\n" + text;
    }

    Either<List<ConfigError>, Configuration> parse() {
        return ConfigParser.parse(whole, base.orElse(0));
    }

    /** Writes each error with file, line and column. */
    ExitCode invalid(Console console, List<ConfigError> errors) {
        errors.forEach(e -> console.error(ExitCode.FAILED, path + ":" + e));
        return ExitCode.FAILED;
    }
}
