/**
 * New versions beside old ones: shares, evidence, verdicts. Start at {@link
 * org.fuchsiadeck.core.rollout.RolloutReducer}.
 */
package org.fuchsiadeck.core.rollout;
