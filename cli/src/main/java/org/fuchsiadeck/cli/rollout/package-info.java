/**
 * The commands on rollouts of new versions.
 */
package org.fuchsiadeck.cli.rollout;
