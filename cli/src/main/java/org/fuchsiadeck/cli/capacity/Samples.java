package org.fuchsiadeck.cli.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.core.config.ExceptionRule;
import org.fuchsiadeck.core.config.Policy;
import org.fuchsiadeck.core.config.Route;
import org.fuchsiadeck.core.config.RouteOptions;
import org.fuchsiadeck.core.config.Team;
import org.fuchsiadeck.core.membership.Member;
import org.fuchsiadeck.core.model.Address;
import org.fuchsiadeck.core.model.Backend;
import org.fuchsiadeck.core.model.BackendId;
import org.fuchsiadeck.core.model.NodeId;
import org.fuchsiadeck.core.model.TeamId;
import org.fuchsiadeck.core.model.Zone;
import org.fuchsiadeck.core.request.CallerRequest;
import org.fuchsiadeck.core.rollout.Evidence;
import org.fuchsiadeck.core.rollout.Histogram;
import org.fuchsiadeck.core.rollout.Tally;

/**
 * Instances, configurations, calls and evidence with names as long as those of a large deployment.
 */
final class Samples {
    static final String ENGINE_SERVICE = "assistant";
    static final String APP_SERVICE = "registers";
    static final String MODEL = "bangla-assistant";

    private static final int ZONES = 9;
    private static final int PREFIX_BLOCKS = 48;
    private static final int SHARED_PREFIXES = 500;
    private static final int HISTOGRAM_BUCKETS = 12;
    private static final int BANDS = 3;

    private Samples() {}

    static NodeId node(int i) {
        return new NodeId("entry-%06d".formatted(i));
    }

    static Zone zone(int i) {
        return new Zone("region-%d-zone-%d".formatted(i % ZONES / 3, i % ZONES));
    }

    static Address address(int i) {
        return new Address("10.20.%d.%d".formatted(i / 250, i % 250), 7_400);
    }

    static Member member(int i, long incarnation, Member.Status status) {
        return new Member(node(i), address(i), zone(i), incarnation, status);
    }

    static String rosterText(int first, int last) {
        StringBuilder out = new StringBuilder("roster\t0\n");
        for (int i = first; i <= last; i++) {
            out.append(node(i)).append('\t').append(address(i)).append('\t');
            out.append(zone(i)).append('\n');
        }
        return out.toString();
    }

    static List<Backend> backends(int count, String version) {
        List<Backend> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(backend(i, version));
        }
        return out;
    }

    /** Makes a backend server; one in four is an application. */
    static Backend backend(int i, String version) {
        boolean app = i % 4 == 3;
        return new Backend(
                new BackendId("worker-%06d".formatted(i)),
                address(i),
                zone(i),
                app ? Backend.Kind.APPLICATION : Backend.Kind.ENGINE,
                read(app ? APP_SERVICE : ENGINE_SERVICE),
                read(version),
                app ? Set.of() : Set.of(read(MODEL)),
                Set.of(),
                app ? Set.of() : Set.of(read("prefill"), read("decode")),
                32,
                1,
                true,
                false);
    }

    /** Makes a text that is not shared, as one read from a connection. */
    private static String read(String text) {
        return new String(text.toCharArray());
    }

    /** Makes a configuration; the first two routes are an entry and a stream. */
    static Configuration configuration(long revision, int routes, int teams, int exceptions) {
        List<Route> all = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            boolean entry = i % 2 == 0;
            Backend.Kind kind = entry ? Backend.Kind.APPLICATION : Backend.Kind.ENGINE;
            String service = entry ? APP_SERVICE : ENGINE_SERVICE;
            all.add(new Route(
                    "route-" + i, service, kind, "POST", path(i), !entry, 60_000, 1 << 20, 5, RouteOptions.NONE));
        }
        List<Team> named = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            named.add(new Team(team(i), 1 + i % 4));
        }
        List<ExceptionRule> rules = new ArrayList<>();
        for (int i = 0; i < exceptions; i++) {
            rules.add(new ExceptionRule(
                    "the switch of rack " + i + " is slow until it is replaced",
                    Map.of("route", "route-" + (i + 2)),
                    Map.of("connect_timeout_ms", 900L),
                    OptionalLong.empty()));
        }
        return new Configuration(revision, Policy.DEFAULT, rules, all, named);
    }

    static String path(int route) {
        return "/service-" + route + "/calls";
    }

    static TeamId team(int i) {
        return new TeamId("ward-%05d".formatted(i));
    }

    static CallerRequest entry(Optional<String> key) {
        return new CallerRequest("POST", path(0), team(0), key, 400, false, Optional.empty());
    }

    /** Makes a streamed completion, whose prompt begins as that of others does. */
    static CallerRequest stream(int number) {
        List<Long> prefix = new ArrayList<>();
        for (int block = 0; block < PREFIX_BLOCKS; block++) {
            boolean shared = block < PREFIX_BLOCKS - 2;
            prefix.add(shared ? number % SHARED_PREFIXES * 1_000L + block : -number * 1_000L - block);
        }
        CallerRequest.Completion completion =
                new CallerRequest.Completion(MODEL, Optional.empty(), prefix, 16 * PREFIX_BLOCKS, 400);
        return new CallerRequest(
                "POST", path(1), team(number % 5), Optional.empty(), 3_000, true, Optional.of(completion));
    }

    /** Makes evidence of two versions on some routes in every load band. */
    static Evidence evidence(int routes) {
        SortedMap<Evidence.Cell, Tally> cells = TreeMap.empty();
        Histogram times = Histogram.EMPTY;
        for (int bucket = 0; bucket < HISTOGRAM_BUCKETS; bucket++) {
            times = times.withDuration(20 * Math.pow(1.26, bucket));
        }
        Tally tally = new Tally(1_000, 3, 0, times, times);
        for (int route = 0; route < routes; route++) {
            for (int band = 0; band < BANDS; band++) {
                cells = cells.put(new Evidence.Cell("v1", "route-" + route, band), tally);
                cells = cells.put(new Evidence.Cell("v2", "route-" + route, band), tally);
            }
        }
        return new Evidence(cells);
    }
}
