package org.fuchsiadeck.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.fuchsiadeck.cli.capacity.CapacityCommand;
import org.fuchsiadeck.cli.config.ApplyCommand;
import org.fuchsiadeck.cli.config.CheckCommand;
import org.fuchsiadeck.cli.config.DiffCommand;
import org.fuchsiadeck.cli.config.ExplainCommand;
import org.fuchsiadeck.cli.config.HistoryCommand;
import org.fuchsiadeck.cli.config.ShowCommand;
import org.fuchsiadeck.cli.load.LoadCommand;
import org.fuchsiadeck.cli.rollout.ReportCommand;
import org.fuchsiadeck.cli.rollout.StartCommand;
import org.fuchsiadeck.cli.rollout.StatusCommand;
import org.fuchsiadeck.cli.rollout.StopCommand;
import org.fuchsiadeck.cli.state.DumpCommand;
import org.fuchsiadeck.cli.state.ExplainRequestCommand;
import org.fuchsiadeck.cli.state.MembersCommand;
import org.fuchsiadeck.cli.state.OperatorCalls;
import org.fuchsiadeck.cli.state.WhyCommand;
import org.fuchsiadeck.node.NodeDaemon;
import org.fuchsiadeck.node.platform.HttpKeyValueStore;
import org.fuchsiadeck.testbed.TestbedDaemon;

/**
 * The program {@code fuchsiadeck}.
 */
public final class Main {
    private static final ToIntFunction<Path> NODE = NodeDaemon::run;
    private static final ToIntFunction<List<String>> TESTBED = TestbedDaemon::run;

    private Main() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param args the command with its options
     */
    public static void main(String[] args) {
        CommandLine line = new CommandLine(commands(HttpKeyValueStore::open, OperatorCalls.http()));
        System.exit(line.run(Console.system(), args).code());
    }

    /**
     * Returns all commands by name, in the order of the help.
     *
     * @param connector makes clients of the key-value service
     * @param operator calls a node's operators' address
     * @return the commands
     */
    static Map<String, Command> commands(PlatformOptions.Connector connector, OperatorCalls operator) {
        Map<String, Command> out = new LinkedHashMap<>();
        out.put("config apply", new ApplyCommand(connector));
        out.put("config show", new ShowCommand(connector));
        out.put("config check", new CheckCommand(connector));
        out.put("config diff", new DiffCommand(connector));
        out.put("config explain", new ExplainCommand(connector));
        out.put("config history", new HistoryCommand(connector));
        out.put("rollout start", new StartCommand(connector));
        out.put("rollout status", new StatusCommand(connector));
        out.put("rollout report", new ReportCommand(connector));
        out.put("rollout stop", new StopCommand(connector));
        out.put("members", new MembersCommand(operator));
        out.put("dump", new DumpCommand(operator));
        out.put("why", new WhyCommand(operator));
        out.put("explain-request", new ExplainRequestCommand());
        out.putAll(LoadCommand.all());
        out.put("capacity", new CapacityCommand());
        out.put("node", new NodeCommand(NODE));
        out.put("testbed", new TestbedCommand(TESTBED));
        return out;
    }
}
