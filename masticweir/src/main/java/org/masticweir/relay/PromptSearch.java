package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.id.PromptId;

/**
 * Queries the prompt caches of several engines in parallel, and returns the first engine that has a
 * prompt in its cache; runs on the traffic thread.
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
     * Calls {@code callback} once with the first of {@code engines} that reports {@code prompt} as
     * cached, or with an empty value if no engine does.
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
