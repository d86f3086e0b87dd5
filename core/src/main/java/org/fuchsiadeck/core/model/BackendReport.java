package org.fuchsiadeck.core.model;

/**
 * What a backend server says of itself in the headers of an answer.
 *
 * @param running requests it works on
 * @param queued requests that wait in it
 * @param ageMs how old the figures were when the server sent them, in milliseconds
 * @param leaving whether the server says it is leaving
 */
public record BackendReport(int running, int queued, long ageMs, boolean leaving) {
    public BackendReport {
        Checks.inRange(running, 0, Integer.MAX_VALUE, "running");
        Checks.inRange(queued, 0, Integer.MAX_VALUE, "queued");
    }
}
