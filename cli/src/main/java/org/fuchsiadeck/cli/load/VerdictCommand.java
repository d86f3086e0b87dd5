package org.fuchsiadeck.cli.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.fuchsiadeck.cli.Command;
import org.fuchsiadeck.cli.Console;
import org.fuchsiadeck.cli.ExitCode;
import org.fuchsiadeck.core.rollout.SequentialRule;
import org.fuchsiadeck.core.rollout.ThresholdRule;
import org.fuchsiadeck.core.rollout.VerdictRule;

/**
 * Compares rules for verdicts on new versions, by drawn attempts.
 */
@Parameters(commandDescription = "compare rules for verdicts on new versions, by drawn attempts")
final class VerdictCommand implements Command {
    @Parameter(names = "--runs", description = "runs of each case, with the seeds from 1 on")
    private int runs = 30;

    @Parameter(names = "--reasons", description = "write the reason of each false verdict too")
    private boolean reasons;

    @Override
    public ExitCode run(Console console) {
        console.out().println("| new version | rule | condemned | answers until then, median | 95 in 100 |");
        console.out().println("|---|---|--:|--:|--:|");
        for (VerdictCase kind : VerdictCase.values()) {
            rules().forEach((name, rule) -> {
                List<VerdictBench.Ended> ended = new VerdictBench(rule).runs(kind, runs);
                console.out().println(row(kind, name, ended));
                ended.stream()
                        .filter(e -> reasons && e.condemned() && !kind.bad())
                        .forEach(e -> console.out().println("    " + e.answers() + ": " + e.reason()));
            });
        }
        return ExitCode.DONE;
    }

    private static Map<String, VerdictRule> rules() {
        Map<String, VerdictRule> rules = new LinkedHashMap<>();
        rules.put("sequential", new SequentialRule());
        rules.put("1 % of 50", new ThresholdRule(0.01, 50));
        rules.put("5 % of 20", new ThresholdRule(0.05, 20));
        return rules;
    }

    private static String row(VerdictCase kind, String rule, List<VerdictBench.Ended> ended) {
        int[] answers = ended.stream()
                .filter(VerdictBench.Ended::condemned)
                .mapToInt(VerdictBench.Ended::answers)
                .sorted()
                .toArray();
        String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return "| " + name + " | " + rule + " | " + answers.length + " of " + ended.size() + " | "
                + quantile(answers, 0.5) + " | " + quantile(answers, 0.95) + " |";
    }

    private static String quantile(int[] sorted, double q) {
        return sorted.length == 0 ? "-" : Integer.toString(sorted[(int) Math.ceil(q * sorted.length) - 1]);
    }

    @Override
    public List<String> examples() {
        return List.of("verdicts --runs 30");
    }
}
