/**
 * Membership: decides by probes and gossip which entry nodes are alive. The entry point is
 * {@link org.fuchsiadeck.core.membership.MembershipReducer}.
 */
package org.fuchsiadeck.core.membership;
