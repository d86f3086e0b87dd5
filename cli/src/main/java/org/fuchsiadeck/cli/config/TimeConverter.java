package org.fuchsiadeck.cli.config;

import java.time.Instant;
import java.time.format.DateTimeParseException;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;

/**
 * Reads a time from an argument.
 */
public final class TimeConverter implements IStringConverter<Instant> {
    @Override
    public Instant convert(String text) {
        try {
            return Instant.parse(text);
        } catch (DateTimeParseException e) {
            throw new ParameterException("a time must be written as 2027-01-31T00:00:00Z, was " + text, e);
        }
    }
}
