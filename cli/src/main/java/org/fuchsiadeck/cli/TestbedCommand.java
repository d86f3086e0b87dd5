package org.fuchsiadeck.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

import static java.util.Objects.requireNonNull;

/**
 * Runs the stand-ins of the outside systems until it is stopped. The first line it writes names their addresses.
 */
@Parameters(commandDescription = "run stand-ins of the outside systems")
final class TestbedCommand implements Command {
    @Parameter(names = "--preset", description = "howrah or bucaramanga")
    private String preset;

    @Parameter(names = "--spec", description = "file that describes the stand-ins, in JSON")
    private String spec;

    @Parameter(names = "--control-port", description = "port of the control address")
    private Integer controlPort;

    private final ToIntFunction<List<String>> daemon;

    TestbedCommand(ToIntFunction<List<String>> daemon) {
        this.daemon = requireNonNull(daemon, "daemon");
    }

    @Override
    public ExitCode run(Console console) {
        if ((preset == null) == (spec == null)) {
            throw new ParameterException("give one of --preset and --spec");
        }
        List<String> args = new ArrayList<>();
        args.add(preset != null ? "--preset" : "--spec");
        args.add(preset != null ? preset : spec);
        if (controlPort != null) {
            args.add("--control-port");
            args.add(controlPort.toString());
        }
        return ExitCode.ofDaemon(daemon.applyAsInt(args));
    }

    @Override
    public List<String> examples() {
        return List.of("testbed --preset howrah", "testbed --spec stand-ins.json --control-port 9200");
    }
}
