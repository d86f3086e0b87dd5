package org.fuchsiadeck.testbed.proxy;

import java.util.List;

/**
 * Faults of a proxy. All but the actions hold for every connection until they are set anew.
 *
 * @param refuse whether the port is closed to new connections
 * @param silenceNew whether new connections are accepted and go nowhere
 * @param delayMs how long bytes are held back in each direction, in milliseconds
 * @param cutToTargetAfter closes a connection once so many bytes went to the target, 0 for never
 * @param cutToCallerAfter closes a connection once so many bytes went to the caller, 0 for never
 * @param trickleBytesPerS how many bytes a second go through in each direction, 0 for no limit
 * @param holdAnswers whether bytes to the caller are kept until this is set to false
 * @param actions what is done once to the connections that are open
 */
public record ProxyFaults(
        boolean refuse,
        boolean silenceNew,
        long delayMs,
        long cutToTargetAfter,
        long cutToCallerAfter,
        int trickleBytesPerS,
        boolean holdAnswers,
        List<ProxyAction> actions) {
    public ProxyFaults {
        actions = actions == null ? List.of() : List.copyOf(actions);
    }

    /**
     * Gives the state without faults.
     *
     * @return no faults; connections that are silent stay so
     */
    public static ProxyFaults none() {
        return of();
    }

    /**
     * Gives actions.
     *
     * @param actions what is done once to the connections that are open
     * @return the actions and no other fault
     */
    public static ProxyFaults of(ProxyAction... actions) {
        return new ProxyFaults(false, false, 0, 0, 0, 0, false, List.of(actions));
    }

    /**
     * Gives a closed port.
     *
     * @return new connections refused and no other fault
     */
    public static ProxyFaults refusing() {
        return new ProxyFaults(true, false, 0, 0, 0, 0, false, List.of());
    }

    /**
     * Gives a delay.
     *
     * @param ms how long bytes are held back in each direction, in milliseconds
     * @return the delay and no other fault
     */
    public static ProxyFaults delaying(long ms) {
        return new ProxyFaults(false, false, ms, 0, 0, 0, false, List.of());
    }

    /**
     * Gives a limit of bytes.
     *
     * @param way which bytes count
     * @param bytes how many go through before a connection is closed
     * @return the limit and no other fault
     */
    public static ProxyFaults cuttingAfter(Direction way, long bytes) {
        boolean out = way == Direction.TO_TARGET;
        return new ProxyFaults(false, false, 0, out ? bytes : 0, out ? 0 : bytes, 0, false, List.of());
    }

    /**
     * Gives a slow line.
     *
     * @param bytesPerS how many bytes a second go through in each direction
     * @return the limit and no other fault
     */
    public static ProxyFaults trickling(int bytesPerS) {
        return new ProxyFaults(false, false, 0, 0, 0, bytesPerS, false, List.of());
    }

    /**
     * Gives held answers.
     *
     * @return bytes to the caller kept and no other fault
     */
    public static ProxyFaults holdingAnswers() {
        return new ProxyFaults(false, false, 0, 0, 0, 0, true, List.of());
    }

    long cutAfter(Direction way) {
        return way == Direction.TO_TARGET ? cutToTargetAfter : cutToCallerAfter;
    }

    boolean holds(Direction way) {
        return holdAnswers && way == Direction.TO_CALLER;
    }
}
