package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Set;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * What a policy is asked for. A component that is empty text is not known; no exception that names it matches.
 *
 * @param zone the availability zone
 * @param service the service
 * @param version the version of the service
 * @param backend the id of the backend server
 * @param route the name of the route
 * @param team the id of the team
 */
public record Subject(String zone, String service, String version, String backend, String route, String team) {
    /** A subject of which nothing is known: it gets the defaults. */
    public static final Subject NONE = new Subject("", "", "", "", "", "");

    /** The names that an exception can match by, as a configuration file writes them. */
    public static final List<String> KEYS = List.of("zone", "service", "version", "backend", "route", "team");

    public Subject {
        requireNonNull(zone, "zone");
        requireNonNull(service, "service");
        requireNonNull(version, "version");
        requireNonNull(backend, "backend");
        requireNonNull(route, "route");
        requireNonNull(team, "team");
    }

    /**
     * Returns the subject of a backend server: its zone, service, version and id.
     *
     * @param backend the backend server
     * @return the subject
     */
    public static Subject of(Backend backend) {
        return new Subject(
                backend.zone().value(),
                backend.service(),
                backend.version(),
                backend.id().value(),
                "",
                "");
    }

    /**
     * Returns the subject of a route: its service and name.
     *
     * @param route the route
     * @return the subject
     */
    public static Subject of(Route route) {
        return new Subject("", route.service(), "", "", route.name(), "");
    }

    /**
     * Returns the same subject on a route.
     *
     * @param name the route's name
     * @return the subject
     */
    public Subject withRoute(String name) {
        return new Subject(zone, service, version, backend, name, team);
    }

    /**
     * Returns the same subject for a team.
     *
     * @param id the team
     * @return the subject
     */
    public Subject withTeam(TeamId id) {
        return new Subject(zone, service, version, backend, route, id.value());
    }

    /**
     * Returns the same subject at a version of its service.
     *
     * @param name the version
     * @return the subject
     */
    public Subject withVersion(String name) {
        return new Subject(zone, service, name, backend, route, team);
    }

    /**
     * Returns the subject of which only some components are known.
     *
     * @param keys the names of the components to keep, of {@link #KEYS}
     * @return the subject
     */
    Subject retain(Set<String> keys) {
        if (keys.isEmpty()) {
            return NONE;
        }
        return new Subject(
                keys.contains("zone") ? zone : "",
                keys.contains("service") ? service : "",
                keys.contains("version") ? version : "",
                keys.contains("backend") ? backend : "",
                keys.contains("route") ? route : "",
                keys.contains("team") ? team : "");
    }

    /**
     * Returns a component by its name.
     *
     * @param key one of {@link #KEYS}
     * @return the component; empty text if it is not known
     * @throws IllegalArgumentException if there is no such component
     */
    public String get(String key) {
        return switch (key) {
            case "zone" -> zone;
            case "service" -> service;
            case "version" -> version;
            case "backend" -> backend;
            case "route" -> route;
            case "team" -> team;
            default -> throw new IllegalArgumentException("a subject has no " + key + ", only " + KEYS);
        };
    }
}
