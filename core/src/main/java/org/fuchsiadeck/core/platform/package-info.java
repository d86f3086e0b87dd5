/**
 * Calls to the platform's key-value service and its instance list, as effects and events.
 */
package org.fuchsiadeck.core.platform;
