package org.masticweir.cli;

import com.beust.jcommander.DefaultUsageFormatter;
import com.beust.jcommander.JCommander;
import com.google.common.base.Strings;

/** Help that lists commands by one line each; the help of a command tells its options. */
final class ShortUsage extends DefaultUsageFormatter {
    private static final int NAME_COLUMNS = 12;

    private final JCommander parser;

    ShortUsage(JCommander parser) {
        super(parser);
        this.parser = parser;
    }

    @Override
    public void appendCommands(
            StringBuilder out, int indentCount, int descriptionIndent, String indent) {
        out.append("  Commands (each takes --help):\n");
        for (String name : parser.getCommands().keySet()) {
            out.append("    ")
                    .append(Strings.padEnd(name, NAME_COLUMNS, ' '))
                    .append(getCommandDescription(name))
                    .append('\n');
        }
    }
}
