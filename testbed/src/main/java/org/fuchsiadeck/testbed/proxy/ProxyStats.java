package org.fuchsiadeck.testbed.proxy;

/**
 * Counts of a proxy since it was made.
 *
 * @param accepted connections accepted
 * @param open connections that are open now
 * @param bytesToTarget bytes passed to the target
 * @param bytesToCaller bytes passed to the caller
 * @param swallowed bytes swallowed in both directions
 * @param cut connections closed by a fault
 */
public record ProxyStats(long accepted, int open, long bytesToTarget, long bytesToCaller, long swallowed, long cut) {}
