package org.masticweir.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.masticweir.bench.copies.CopiesCommand;
import org.masticweir.bench.demo.DemoCommand;
import org.masticweir.bench.demo.PublishCommand;
import org.masticweir.bench.experiment.ExperimentCommand;
import org.masticweir.bench.load.LoadCommand;
import org.masticweir.bench.path.PathCommand;
import org.masticweir.bench.slopes.SlopePointCommand;
import org.masticweir.bench.slopes.SlopesCommand;

/** The program for load, experiments and the demo. */
public final class Bench {
    private static final int EXIT_BAD_ARGUMENTS = 2;

    private Bench() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        ImmutableList<BenchCommand> commands =
                ImmutableList.of(
                        new DemoCommand(),
                        new PublishCommand(),
                        new LoadCommand(),
                        new ExperimentCommand(),
                        new PathCommand(),
                        new CopiesCommand(),
                        new SlopePointCommand(),
                        new SlopesCommand());
        JCommander parser = new JCommander();
        parser.setProgramName("masticweir-bench");
        commands.forEach(c -> parser.addCommand(c.name(), c));
        System.exit(run(parser, commands, args));
    }

    private static int run(JCommander parser, ImmutableList<BenchCommand> commands, String[] args) {
        try {
            parser.parse(args);
            return runNamed(parser, commands);
        } catch (ParameterException e) {
            System.err.println("masticweir-bench: " + e.getMessage());
            return EXIT_BAD_ARGUMENTS;
        }
    }

    private static int runNamed(JCommander parser, ImmutableList<BenchCommand> commands) {
        Optional<BenchCommand> named =
                commands.stream()
                        .filter(c -> c.name().equals(parser.getParsedCommand()))
                        .findFirst();
        if (named.isEmpty()) {
            parser.usage();
            return EXIT_BAD_ARGUMENTS;
        }
        return named.get().run();
    }
}
