package org.masticweir.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Collectors;

/** {@code config apply}: proposes a document on top of the revision just read. */
@Parameters(commandDescription = "Apply a deployment document on top of the one in force")
final class ConfigApplyCommand extends CliCommand {
    private static final String PATH = "/v1/config";

    @ParametersDelegate private final DocumentFile file = new DocumentFile();

    @Parameter(names = "--dry-run", description = "Let the router check it, but change nothing")
    private boolean dryRun;

    @Parameter(names = "--author", description = "Name kept with the change")
    private String author = System.getProperty("user.name", "unknown");

    ConfigApplyCommand(GlobalOptions options) {
        super(options);
    }

    @Override
    ExitCode run(Console console) {
        DocumentFile.Content next = file.read();
        try (OperatorClient client = openClient()) {
            CallResult result = client.get(PATH);
            Optional<RouterConfig> held = RouterConfig.of(result);
            if (held.isEmpty()) {
                return failed(result, console, ExitCode.NOT_REACHABLE);
            }
            if (!console.json()) {
                console.result(held.get().diffTo(next.deployment()).text());
            }
            return propose(client, held.get(), next.text(), console);
        }
    }

    private ExitCode propose(
            OperatorClient client, RouterConfig held, String document, Console console) {
        String changeId = UUID.randomUUID().toString();
        OperatorMessages.Apply change =
                new OperatorMessages.Apply(held.revision(), changeId, author, document, dryRun);
        CallResult result = client.post(PATH, Json.write(change));
        if (result.kind() == CallResult.Kind.NO_ANSWER && !dryRun) {
            return settle(client, changeId, result, console);
        }
        if (!result.ok()) {
            return failed(result, console, ExitCode.UNSETTLED);
        }
        if (console.json()) {
            console.result(result.text());
        }
        return Json.read(result.text(), OperatorMessages.Applied.class)
                .map(applied -> outcome(applied, changeId, console))
                .orElseGet(() -> unsettled(changeId, "the answer is not understood", console));
    }

    /**
     * Reads the configuration back once after an answer was lost.
     *
     * <p>The change may have been written although its answer did not arrive; its change id in
     * force proves that it was, and anything else proves nothing, since the write may come later.
     */
    private ExitCode settle(
            OperatorClient client, String changeId, CallResult lost, Console console) {
        Optional<OperatorMessages.Config> held =
                Optional.of(client.get(PATH))
                        .filter(CallResult::ok)
                        .flatMap(r -> Json.read(r.text(), OperatorMessages.Config.class))
                        .filter(c -> changeId.equals(c.changeId()));
        if (held.isEmpty()) {
            return unsettled(changeId, lost.text(), console);
        }
        return console.failed(
                ExitCode.UNSETTLED,
                "the answer was lost, but change "
                        + changeId
                        + " is revision "
                        + held.get().revision()
                        + "; which domains hold it is not known");
    }

    private ExitCode outcome(OperatorMessages.Applied applied, String changeId, Console console) {
        if (dryRun) {
            return done("dry run: the router would accept it", console);
        }
        String name = "revision " + applied.revision() + ", change " + changeId;
        switch (String.valueOf(applied.outcome())) {
            case "accepted":
                return done("accepted: " + name + " is held in every domain", console);
            case "pending":
                return console.failed(
                        ExitCode.UNSETTLED,
                        "pending: " + name + " is written, but not held in " + lacking(applied));
            default:
                return unsettled(changeId, "the router could not read the table", console);
        }
    }

    private static String lacking(OperatorMessages.Applied applied) {
        List<OperatorMessages.DomainHolds> domains = applied.domains();
        return domains.stream()
                .filter(d -> !d.holds())
                .map(OperatorMessages.DomainHolds::domain)
                .collect(Collectors.joining(", "));
    }

    private static ExitCode done(String sentence, Console console) {
        if (!console.json()) {
            console.result(sentence);
        }
        return ExitCode.OK;
    }

    private static ExitCode unsettled(String changeId, String why, Console console) {
        return console.failed(
                ExitCode.UNSETTLED,
                "the outcome of change "
                        + changeId
                        + " is unknown ("
                        + why
                        + "); look for it in: masticweir config history");
    }
}
