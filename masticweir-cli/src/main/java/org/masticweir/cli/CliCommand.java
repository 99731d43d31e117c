package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.beust.jcommander.ParametersDelegate;
import org.masticweir.http.IpAddress;

/** One command; JCommander fills its fields, then it runs once. */
abstract class CliCommand {
    @ParametersDelegate private final GlobalOptions options;

    CliCommand(GlobalOptions options) {
        this.options = checkNotNull(options, "options");
    }

    /** Runs the command and returns how it ended. */
    abstract ExitCode run(Console console);

    final OperatorClient openClient() {
        return OperatorClient.open(
                options.router(),
                options.timeoutMs(),
                ClientSecurity.read(options.credentialFile(), options.trustFile()));
    }

    /** Prints why a call failed; {@code unanswered} is the exit code when it may have been done. */
    final ExitCode failed(CallResult result, Console console, ExitCode unanswered) {
        String router = "router " + IpAddress.text(options.router());
        switch (result.kind()) {
            case NOT_REACHED:
                return console.failed(
                        ExitCode.NOT_REACHABLE, router + " is not reachable: " + result.text());
            case NO_ANSWER:
                return console.failed(unanswered, router + " did not answer: " + result.text());
            case ANSWERED:
            default:
                return refused(result, console, router);
        }
    }

    private static ExitCode refused(CallResult result, Console console, String router) {
        if (console.json()) {
            console.result(result.text());
        }
        OperatorMessages.Failure failure =
                Json.read(result.text(), OperatorMessages.Failure.class)
                        .orElse(new OperatorMessages.Failure("", "the answer is not understood"));
        String code = failure.code() == null ? "" : failure.code();
        String sentence =
                router + " answered " + result.status() + " " + code + ": " + failure.message();
        return console.failed(exitOf(code, result.status()), sentence);
    }

    private static ExitCode exitOf(String code, int status) {
        if (code.equals("SETTINGS_INVALID")) {
            return ExitCode.BAD_INPUT;
        }
        return status == 409 ? ExitCode.CONFLICT : ExitCode.ROUTER_ERROR;
    }
}
