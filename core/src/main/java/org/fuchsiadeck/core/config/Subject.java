package org.fuchsiadeck.core.config;

import java.util.List;
import java.util.Set;

import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.TeamId;

import static java.util.Objects.requireNonNull;

/**
 * The zone, service, version, backend server, route and team for which a policy is resolved. A component that is not
 * known is empty text, and no exception that names it matches.
 *
 * @param zone the availability zone
 * @param service the service
 * @param version the version of the service
 * @param backend the id of the backend server
 * @param route the name of the route
 * @param team the id of the team
 */
public record Subject(String zone, String service, String version, String backend, String route, String team) {
    /** The subject without any known component. */
    public static final Subject NONE = new Subject("", "", "", "", "", "");

    /** The names of the components that an exception can match by, as in a configuration file. */
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
     * Returns the subject with the zone, service, version and id of a backend server.
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
     * Returns the subject with the service and name of a route.
     *
     * @param route the route
     * @return the subject
     */
    public static Subject of(Route route) {
        return new Subject("", route.service(), "", "", route.name(), "");
    }

    /**
     * Returns this subject with another route.
     *
     * @param name the route's name
     * @return the subject
     */
    public Subject withRoute(String name) {
        return new Subject(zone, service, version, backend, name, team);
    }

    /**
     * Returns this subject with another team.
     *
     * @param id the team
     * @return the subject
     */
    public Subject withTeam(TeamId id) {
        return new Subject(zone, service, version, backend, route, id.value());
    }

    /**
     * Returns this subject with another version of its service.
     *
     * @param name the version
     * @return the subject
     */
    public Subject withVersion(String name) {
        return new Subject(zone, service, name, backend, route, team);
    }

    /**
     * Returns this subject with only some of its components.
     *
     * @param keys the names of the components to retain, from {@link #KEYS}
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
            default ->
                throw new IllegalArgumentException(
                        "unknown component of a subject: " + key + ", expected one of " + KEYS);
        };
    }
}
