/**
 * The wire form of what entry nodes tell each other of rollouts. Start at
 * {@link org.fuchsiadeck.node.rollout.RolloutCodecs}.
 */
package org.fuchsiadeck.node.rollout;
