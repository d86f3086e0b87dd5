package org.fuchsiadeck.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.node.platform.KeyValueStore;

/**
 * Where the platform's key-value service is.
 */
public final class PlatformOptions {
    /** The environment variable with the service's address. */
    public static final String VARIABLE = "FUCHSIADECK_PLATFORM";

    @Parameter(
            names = "--platform",
            description = "address of the key-value service as host:port; otherwise " + VARIABLE,
            converter = AddressConverter.class)
    private Address address;

    @Parameter(names = "--timeout-ms", description = "longest wait for one answer of the service, in milliseconds")
    private long timeoutMs = 2_000;

    @Parameter(names = "--patience-ms", description = "how long failed calls are tried again, in milliseconds")
    private long patienceMs = 15_000;

    /**
     * Opens a client of the service.
     *
     * @param console gives the environment
     * @param connector makes the client
     * @return the client; to be closed
     * @throws ParameterException if no address was given
     */
    public KeyValueStore open(Console console, Connector connector) {
        Address to = address != null
                ? address
                : console.variable(VARIABLE)
                        .map(new AddressConverter()::convert)
                        .orElseThrow(() -> new ParameterException("give --platform or set " + VARIABLE));
        return connector.open(to, timeoutMs);
    }

    /**
     * Returns how long failed calls are tried again.
     *
     * @return the time in milliseconds
     */
    public long patienceMs() {
        return patienceMs;
    }

    /** Makes a client of the key-value service. */
    @FunctionalInterface
    public interface Connector {
        /**
         * Makes a client.
         *
         * @param service the service's address
         * @param timeoutMs the longest wait for an answer, in milliseconds
         * @return the client; to be closed
         */
        KeyValueStore open(Address service, long timeoutMs);
    }
}
