/**
 * A TCP proxy that injects faults between callers and one target. Start at
 * {@link org.fuchsiadeck.testbed.proxy.FaultProxy}.
 */
package org.fuchsiadeck.testbed.proxy;
