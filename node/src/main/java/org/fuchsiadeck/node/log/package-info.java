/**
 * Numbered log events as JSON lines. Start at {@link org.fuchsiadeck.node.log.EventLog}.
 */
package org.fuchsiadeck.node.log;
