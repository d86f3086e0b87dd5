/**
 * Reads the rollout orders of operators from the platform's key-value service, and writes the status of rollouts there.
 * The entry point is {@link org.fuchsiadeck.core.desk.RolloutOrderReducer}.
 */
package org.fuchsiadeck.core.desk;
