package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
            read(story);
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

    private void read(RequestStory story) throws IOException {
        if (arguments.size() == 1) {
            read(input, story);
            return;
        }
        for (String file : arguments.subList(1, arguments.size())) {
            try (InputStream from = Files.newInputStream(Path.of(file))) {
                read(from, story);
            }
        }
    }

    /** Bytes that are no text are replaced, so that one bad line hides no other. */
    private static void read(InputStream from, RequestStory story) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            story.take(line);
        }
    }
}
