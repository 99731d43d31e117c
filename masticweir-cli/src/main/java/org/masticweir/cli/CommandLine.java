package org.masticweir.cli;

import com.beust.jcommander.JCommander;

/** The tree of commands and their help; stateless. */
final class CommandLine {
    private static final String PROGRAM = "masticweir";

    private CommandLine() {}

    /** Returns a parser of all commands that fills {@code options}. */
    static JCommander parserFor(GlobalOptions options) {
        JCommander parser = new JCommander(options);
        parser.setProgramName(PROGRAM);
        add(parser, "status", new StatusCommand(options));
        add(parser, "engines", new EnginesCommand(options));
        add(parser, "requests", new RequestsCommand(options));
        add(parser, "metrics", new MetricsCommand(options));
        add(parser, "drain", new DrainCommand(options));
        add(parser, "explain", new ExplainCommand(options, System.in));
        add(parser, "outcomes", new OutcomesCommand(options, System.in));
        JCommander quarantine = add(parser, "quarantine", new QuarantineCommand(options));
        add(quarantine, "list", new QuarantineListCommand(options));
        add(quarantine, "release", new QuarantineReleaseCommand(options));
        JCommander config = add(parser, "config", new ConfigCommand(options));
        add(config, "show", new ConfigShowCommand(options));
        add(config, "check", new ConfigCheckCommand(options));
        add(config, "diff", new ConfigDiffCommand(options));
        add(config, "apply", new ConfigApplyCommand(options));
        add(config, "history", new ConfigHistoryCommand(options));
        return parser;
    }

    /** Returns the parser of the innermost command that was named. */
    static JCommander chosen(JCommander parser) {
        JCommander chosen = parser;
        while (chosen.getParsedCommand() != null) {
            chosen = next(chosen);
        }
        return chosen;
    }

    /** Returns the help of the innermost command that was named. */
    static String help(JCommander parser) {
        StringBuilder name = new StringBuilder(PROGRAM);
        for (JCommander at = parser; at.getParsedCommand() != null; at = next(at)) {
            name.append(' ').append(at.getParsedCommand());
        }
        JCommander chosen = chosen(parser);
        chosen.setProgramName(name.toString());
        StringBuilder text = new StringBuilder();
        new ShortUsage(chosen).usage(text);
        return text + ExitCode.help();
    }

    private static JCommander next(JCommander parser) {
        return parser.getCommands().get(parser.getParsedCommand());
    }

    private static JCommander add(JCommander parent, String name, Object command) {
        parent.addCommand(name, command);
        return parent.getCommands().get(name);
    }
}
