/**
 * The stand-in of a plain service, such as registers or visits, which counts how often each entry was run. Start at
 * {@link org.fuchsiadeck.testbed.app.AppServer}.
 */
package org.fuchsiadeck.testbed.app;
