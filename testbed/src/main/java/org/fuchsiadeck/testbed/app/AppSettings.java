package org.fuchsiadeck.testbed.app;

/**
 * Settings of an application beyond what the instance list says of it.
 *
 * @param serviceMs how long a request takes, in milliseconds; it takes effect at the end
 * @param loadAgeMs how old a load report gets before it is taken anew, in milliseconds
 */
public record AppSettings(long serviceMs, long loadAgeMs) {
    /**
     * Gives the defaults.
     *
     * @return no service time and fresh load reports
     */
    public static AppSettings defaults() {
        return new AppSettings(0, 0);
    }
}
