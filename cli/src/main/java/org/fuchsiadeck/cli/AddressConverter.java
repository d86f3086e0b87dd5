package org.fuchsiadeck.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.fuchsiadeck.core.model.Address;

/**
 * Reads an address from an argument.
 */
public final class AddressConverter implements IStringConverter<Address> {
    @Override
    public Address convert(String text) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage(), e);
        }
    }
}
