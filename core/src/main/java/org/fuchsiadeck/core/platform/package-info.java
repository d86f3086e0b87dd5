/**
 * Effects and events for the platform's key-value service and its instance list, and the state that a node keeps of its
 * keys and calls there.
 */
package org.fuchsiadeck.core.platform;
