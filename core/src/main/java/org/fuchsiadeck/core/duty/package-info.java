/**
 * Platform calls that only one node, the leader, makes at a time: usage reports and orders of backend servers. The
 * leader holds a lease on a key in the platform's key-value service, and its calls carry a fencing token that grows
 * with each new leader. The entry point is {@link org.fuchsiadeck.core.duty.DutyReducer}.
 */
package org.fuchsiadeck.core.duty;
