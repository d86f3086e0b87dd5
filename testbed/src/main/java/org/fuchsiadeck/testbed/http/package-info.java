/**
 * A small HTTP server for the stand-ins. Start at {@link org.fuchsiadeck.testbed.http.StandInServer}: it reads each
 * request whole without blocking a thread and hands it to {@link org.fuchsiadeck.testbed.http.Routes}.
 */
package org.fuchsiadeck.testbed.http;
