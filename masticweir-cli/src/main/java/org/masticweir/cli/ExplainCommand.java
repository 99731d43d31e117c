package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** {@code explain}: prints what logs tell of one request; needs no router. */
@Parameters(commandDescription = "Print what logs tell of one request, in order; needs no router")
final class ExplainCommand extends CliCommand {
    @Parameter(
            description = "ID [FILE...], logs of any routers; standard input without a FILE",
            required = true)
    private List<String> arguments = new ArrayList<>();

    private final InputStream input;

    ExplainCommand(GlobalOptions options, InputStream input) {
        super(options);
        this.input = checkNotNull(input, "input");
    }

    @Override
    ExitCode run(Console console) {
        String id = arguments.get(0);
        RequestStory story = new RequestStory(id);
        try {
            LogLines.read(arguments.subList(1, arguments.size()), input, story::take);
        } catch (IOException e) {
            return console.failed(ExitCode.BAD_INPUT, "the logs cannot be read: " + e);
        }
        ImmutableList<String> lines = story.inOrder();
        if (lines.isEmpty()) {
            return console.failed(ExitCode.BAD_INPUT, "no line names request " + id);
        }
        console.result(console.json() ? Json.write(lines) : String.join("\n", lines));
        return ExitCode.OK;
    }
}
