package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.PromptId;

/**
 * Asks engines which of them keeps a prompt, and takes the first that does; on the traffic thread.
 */
final class PromptSearch {
    private static final Logger LOG = LogManager.getLogger(PromptSearch.class);

    /**
     * Time for all answers, in ms: a tenth of what reading a long prompt takes. What is not found
     * by then is read.
     */
    private static final long ANSWER_MS = 100;

    private final RelayContext context;
    private final PromptId prompt;
    private final Consumer<Optional<BackendServer>> then;
    private int awaited;
    private boolean over;

    private PromptSearch(
            RelayContext context, PromptId prompt, Consumer<Optional<BackendServer>> then) {
        this.context = checkNotNull(context, "context");
        this.prompt = checkNotNull(prompt, "prompt");
        this.then = checkNotNull(then, "then");
    }

    /** Tells {@code then}, once, which of {@code engines} keeps {@code prompt}; nothing if none. */
    static void among(
            RelayContext context,
            ImmutableList<BackendServer> engines,
            PromptId prompt,
            Consumer<Optional<BackendServer>> then) {
        new PromptSearch(context, prompt, then).ask(engines);
    }

    private void ask(ImmutableList<BackendServer> engines) {
        awaited = engines.size();
        context.thread()
                .executeAfter(() -> end(Optional.empty()), ANSWER_MS, TimeUnit.MILLISECONDS);
        for (BackendServer engine : engines) {
            context.calls()
                    .call(context.dialect().keptPrompts(engine), ANSWER_MS)
                    .thenAccept(outcome -> answered(engine, outcome));
        }
    }

    private void answered(BackendServer engine, HttpOutcome outcome) {
        awaited--;
        if (keeps(outcome)) {
            end(Optional.of(engine));
        } else if (awaited == 0) {
            end(Optional.empty());
        }
    }

    private boolean keeps(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return context.dialect().keeps(answered.answer().text(), prompt);
            } catch (IllegalArgumentException e) {
                LOG.warn("relay: a list of prompts is not understood, {}", e.getMessage());
            }
        }
        return false;
    }

    private void end(Optional<BackendServer> keeper) {
        if (!over) {
            over = true;
            then.accept(keeper);
        }
    }
}
