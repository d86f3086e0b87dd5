/**
 * Measures how the cost of a node's decisions, state and messages grows with the size of the deployment. Start at
 * {@link org.fuchsiadeck.cli.capacity.CapacityCommand}; docs/CAPACITY.md works with the figures.
 */
package org.fuchsiadeck.cli.capacity;
