/**
 * Which entry nodes are alive. Start at {@link org.fuchsiadeck.core.membership.MembershipReducer}.
 */
package org.fuchsiadeck.core.membership;
