package org.fuchsiadeck.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

import static java.util.stream.Collectors.toSet;

/**
 * Reads arguments, runs the command that they name, and writes help and errors.
 */
public final class CommandLine {
    /** The program's name. */
    public static final String PROGRAM = "fuchsiadeck";

    private static final Set<String> HELP = Set.of("help", "--help", "-h");

    private final Map<String, Command> commands;

    /**
     * Makes a command line.
     *
     * @param commands the commands by name; a name of two words is a command of a group
     */
    public CommandLine(Map<String, Command> commands) {
        this.commands = new LinkedHashMap<>(commands);
    }

    /**
     * Runs a command.
     *
     * @param console where it writes to
     * @param args the arguments of the process
     * @return how it ended
     */
    public ExitCode run(Console console, String... args) {
        List<String> words = joinGroup(List.of(args));
        if (words.isEmpty() || HELP.contains(words.get(0))) {
            overview(console, "");
            return words.isEmpty() ? ExitCode.WRONG_USE : ExitCode.DONE;
        }
        String name = words.get(0);
        if (groups().contains(name)) {
            overview(console, name + " ");
            return ExitCode.WRONG_USE;
        }
        if (!commands.containsKey(name)) {
            return console.error(ExitCode.WRONG_USE, "there is no command " + name + "; see " + PROGRAM + " --help");
        }
        return words.stream().skip(1).anyMatch(HELP::contains) ? help(console, name) : run(console, name, words);
    }

    private ExitCode run(Console console, String name, List<String> words) {
        try {
            parser().parse(words.toArray(String[]::new));
            return commands.get(name).run(console);
        } catch (ParameterException e) {
            return console.error(ExitCode.WRONG_USE, e.getMessage() + "; see " + PROGRAM + " " + name + " --help");
        } catch (RuntimeException e) {
            return console.error(ExitCode.FAILED, name + ": " + e);
        }
    }

    /** Joins the names of a group and its command into one word. */
    private List<String> joinGroup(List<String> args) {
        if (args.size() < 2 || !groups().contains(args.get(0)) || HELP.contains(args.get(1))) {
            return args;
        }
        List<String> out = new ArrayList<>();
        out.add(args.get(0) + " " + args.get(1));
        out.addAll(args.subList(2, args.size()));
        return out;
    }

    private Set<String> groups() {
        return commands.keySet().stream()
                .filter(n -> n.contains(" "))
                .map(n -> n.substring(0, n.indexOf(' ')))
                .collect(toSet());
    }

    private JCommander parser() {
        JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM);
        commands.forEach(builder::addCommand);
        return builder.build();
    }

    private void overview(Console console, String prefix) {
        JCommander parser = parser();
        console.out().println("Usage: " + PROGRAM + " <command> [options]");
        console.out().println();
        commands.keySet().stream()
                .filter(n -> n.startsWith(prefix))
                .forEach(n -> console.out()
                        .printf("  %-16s %s%n", n, parser.getUsageFormatter().getCommandDescription(n)));
        console.out().println();
        console.out().println("Options of a command: " + PROGRAM + " <command> --help");
        console.out().println("Exit codes: 0 done, 1 failed, 2 wrong use, 3 outcome unknown");
    }

    private ExitCode help(Console console, String name) {
        StringBuilder text = new StringBuilder();
        parser().getUsageFormatter().usage(name, text);
        text.append("\n  Examples:\n");
        commands.get(name)
                .examples()
                .forEach(e -> text.append("    " + PROGRAM + " ").append(e).append('\n'));
        console.out().print(text);
        return ExitCode.DONE;
    }
}
