/**
 * The entry node's daemon around the core. Start at {@link org.fuchsiadeck.node.NodeDaemon}.
 */
package org.fuchsiadeck.node;
