/**
 * The event loop: one thread that reduces events and hands the effects to those who run them. Start at {@link
 * org.fuchsiadeck.node.run.EventLoop}.
 */
package org.fuchsiadeck.node.run;
