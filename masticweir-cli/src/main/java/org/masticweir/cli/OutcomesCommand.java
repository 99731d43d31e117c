package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** {@code outcomes}: counts by outcome and cause what logs tell of requests; needs no router. */
@Parameters(
        commandDescription =
                "Print how the requests in logs ended, by outcome and cause; needs no router")
final class OutcomesCommand extends CliCommand {
    @Parameter(description = "[FILE...], one log for each router; standard input without a FILE")
    private List<String> files = new ArrayList<>();

    private final InputStream input;

    OutcomesCommand(GlobalOptions options, InputStream input) {
        super(options);
        this.input = checkNotNull(input, "input");
    }

    @Override
    ExitCode run(Console console) {
        RequestTally tally = new RequestTally();
        try {
            LogLines.read(files, input, tally);
        } catch (IOException e) {
            return console.failed(ExitCode.BAD_INPUT, "the logs cannot be read: " + e);
        }
        ImmutableList<OutcomeRow> rows = tally.rows();
        if (rows.isEmpty()) {
            return console.failed(ExitCode.BAD_INPUT, "no line tells of a request");
        }
        console.result(console.json() ? Json.write(rows) : OutcomeRow.table(rows));
        return ExitCode.OK;
    }
}
