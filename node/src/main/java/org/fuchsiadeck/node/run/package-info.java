/**
 * Event loop of an entry node: a single thread reduces events and passes the resulting effects to their handlers. Start
 * at {@link org.fuchsiadeck.node.run.EventLoop}.
 */
package org.fuchsiadeck.node.run;
