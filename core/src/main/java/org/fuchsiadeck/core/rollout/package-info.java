/**
 * Gradual rollouts of new versions: traffic shares, evidence and verdicts. The entry point is {@link
 * org.fuchsiadeck.core.rollout.RolloutReducer}.
 */
package org.fuchsiadeck.core.rollout;
