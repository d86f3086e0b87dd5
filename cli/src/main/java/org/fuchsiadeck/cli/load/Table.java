package org.fuchsiadeck.cli.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import static java.util.stream.Collectors.groupingBy;

/**
 * Results as a Markdown table: a line for each router and rate, with the median over the seeds and, in brackets, the
 * least and the greatest.
 */
final class Table {
    private static final List<Column> COLUMNS = List.of(
            new Column("goodput/s", 1, Summary::goodputPerS),
            new Column("within goals %", 1, s -> 100 * s.shareWithinGoals()),
            new Column("streams within %", 1, s -> 100 * s.streamShareWithinGoals()),
            new Column("first token p50 ms", 0, s -> s.firstToken().p50()),
            new Column("first token p99 ms", 0, s -> s.firstToken().p99()),
            new Column("between tokens p99 ms", 1, s -> s.betweenTokens().p99()),
            new Column("plain p99 ms", 0, s -> s.plain().p99()),
            new Column("refused", 0, s -> s.outcomes().getOrDefault("not-run", 0)),
            new Column("unknown", 0, s -> s.outcomes().getOrDefault("unknown", 0)),
            new Column("prefix tokens recomputed", 0, s -> s.prefill().recomputedTokens()),
            new Column("prompt computed %", 1, Table::computedPercent),
            new Column("broken promises", 0, Table::broken),
            new Column(
                    "back after s",
                    0,
                    s -> s.recovery() == null ? 0 : s.recovery().backAfterS()),
            new Column("load average", 1, s -> s.loadAverage().get(1)));

    private Table() {}

    static String of(Collection<Summary> runs) {
        StringBuilder out = new StringBuilder("| experiment | rate/s | router | runs |");
        COLUMNS.forEach(c -> out.append(' ').append(c.name).append(" |"));
        out.append("\n|---|---|---|---|").append("---|".repeat(COLUMNS.size())).append('\n');
        Map<String, List<Summary>> lines = new TreeMap<>(runs.stream().collect(groupingBy(Table::key)));
        lines.forEach((key, group) -> {
            Summary first = group.get(0);
            out.append("| ").append(first.experiment());
            out.append(" | ").append(number(first.ratePerS(), 0));
            out.append(" | ").append(first.router());
            out.append(" | ").append(group.size()).append(" |");
            COLUMNS.forEach(c -> out.append(' ').append(cell(c, group)).append(" |"));
            out.append('\n');
        });
        return out.toString();
    }

    /** Returns a line for each team, and for each kind of request of it, in place of one for each router and rate. */
    static String ofTeams(Collection<Summary> runs) {
        StringBuilder out = new StringBuilder("| experiment | rate/s | router | team | runs | offered | refused "
                + "| within goals % | first token p95 ms | plain p95 ms |\n"
                + "|---|---|---|---|---|---|---|---|---|---|\n");
        new TreeMap<>(runs.stream().collect(groupingBy(Table::key))).forEach((key, group) -> {
            Summary first = group.get(0);
            parts(first).keySet().forEach(team -> {
                out.append("| ").append(first.experiment());
                out.append(" | ").append(number(first.ratePerS(), 0));
                out.append(" | ").append(first.router());
                out.append(" | ").append(team);
                out.append(" | ").append(group.size()).append(" |");
                for (Column column : teamColumns(team)) {
                    out.append(' ').append(cell(column, group)).append(" |");
                }
                out.append('\n');
            });
        });
        return out.toString();
    }

    private static Map<String, Summary.Figures> parts(Summary s) {
        Map<String, Summary.Figures> out = new TreeMap<>(s.teams());
        out.putAll(s.teamRequests());
        return out;
    }

    private static List<Column> teamColumns(String team) {
        return List.of(
                new Column("offered", 0, s -> parts(s).get(team).offered()),
                new Column("refused", 0, s -> parts(s).get(team).refused()),
                new Column("within", 1, s -> 100 * parts(s).get(team).shareWithinGoals()),
                new Column("first", 0, s -> parts(s).get(team).firstToken().p95()),
                new Column("plain", 0, s -> parts(s).get(team).plain().p95()));
    }

    private static String key(Summary s) {
        return s.experiment() + String.format(Locale.ROOT, "/%08.1f/", s.ratePerS()) + s.router();
    }

    private static String cell(Column column, List<Summary> group) {
        List<Double> values = new ArrayList<>(
                group.stream().map(column.value::applyAsDouble).sorted().toList());
        String least = number(values.get(0), column.digits);
        String greatest = number(values.get(values.size() - 1), column.digits);
        String median = number(median(values), column.digits);
        return least.equals(greatest) ? median : median + " (" + least + "-" + greatest + ")";
    }

    static double median(List<Double> sorted) {
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(half) : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }

    private static double computedPercent(Summary s) {
        long prompt = s.prefill().promptTokens();
        return prompt == 0 ? 0 : 100.0 * s.prefill().computedTokens() / prompt;
    }

    private static double broken(Summary s) {
        Audit a = s.audit();
        return a.lost() + a.doubled() + a.ranThoughRefused() + a.wrong() + a.cut() + a.unanswered();
    }

    private static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    /** One column. */
    private record Column(String name, int digits, ToDoubleFunction<Summary> value) {}
}
