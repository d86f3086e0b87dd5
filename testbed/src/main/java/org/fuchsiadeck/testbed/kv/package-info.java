/**
 * The stand-in of the platform's key-value service: compare-and-swap, leases, watches, and its faults. Start at
 * {@link org.fuchsiadeck.testbed.kv.KvService}.
 */
package org.fuchsiadeck.testbed.kv;
