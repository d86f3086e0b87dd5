/**
 * Where operators on the platform ask for rollouts and read how they stand. Start at {@link
 * org.fuchsiadeck.core.desk.RolloutOrderReducer}.
 */
package org.fuchsiadeck.core.desk;
