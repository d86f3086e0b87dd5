/**
 * Stand-ins for the outside systems, hosted in one process. Start at {@link org.fuchsiadeck.testbed.Testbed} in a test,
 * and at {@link org.fuchsiadeck.testbed.TestbedDaemon} for a process of its own.
 */
package org.fuchsiadeck.testbed;
