package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

/** A command that reads one answer and shows it; changes nothing. */
abstract class QueryCommand<T> extends CliCommand {
    private final String path;
    private final Class<T> type;

    QueryCommand(GlobalOptions options, String path, Class<T> type) {
        super(options);
        this.path = checkNotNull(path, "path");
        this.type = checkNotNull(type, "type");
    }

    /** Returns the answer for people. */
    abstract String text(T answer);

    @Override
    final ExitCode run(Console console) {
        try (OperatorClient client = openClient()) {
            CallResult result = client.get(path);
            return result.ok()
                    ? show(result.text(), console)
                    : failed(result, console, ExitCode.NOT_REACHABLE);
        }
    }

    private ExitCode show(String body, Console console) {
        if (console.json()) {
            console.result(body);
            return ExitCode.OK;
        }
        return Json.read(body, type)
                .map(
                        answer -> {
                            console.result(text(answer));
                            return ExitCode.OK;
                        })
                .orElseGet(
                        () ->
                                console.failed(
                                        ExitCode.ROUTER_ERROR,
                                        "the answer to " + path + " is not understood"));
    }
}
