package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.id.PromptId;

/**
 * Asks engines in parallel whether they cache a prompt, and returns the first that does; runs on
 * the traffic thread.
 */
final class PromptSearch {
    private final PromptId prompt;
    private final Consumer<Optional<BackendServer>> callback;
    private int pendingAnswerCount;
    private boolean isEnded;

    private PromptSearch(
            PromptId prompt, int engineCount, Consumer<Optional<BackendServer>> callback) {
        this.prompt = checkNotNull(prompt, "prompt");
        this.callback = checkNotNull(callback, "callback");
        pendingAnswerCount = engineCount;
    }

    /**
     * Calls {@code callback} once with the first of {@code engines} that is found to cache {@code
     * prompt}, or with nothing if none does.
     */
    static void start(
            ImmutableList<BackendServer> engines,
            PromptCacheClient client,
            PromptId prompt,
            Consumer<Optional<BackendServer>> callback) {
        PromptSearch search = new PromptSearch(prompt, engines.size(), callback);
        engines.forEach(
                e ->
                        client.cachedPrompts(e)
                                .thenAccept(prompts -> search.handleAnswer(e, prompts)));
    }

    private void handleAnswer(BackendServer engine, ImmutableSet<PromptId> prompts) {
        pendingAnswerCount--;
        if (prompts.contains(prompt)) {
            end(Optional.of(engine));
        } else if (pendingAnswerCount == 0) {
            end(Optional.empty());
        }
    }

    private void end(Optional<BackendServer> engine) {
        if (!isEnded) {
            isEnded = true;
            callback.accept(engine);
        }
    }
}
