package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.id.PromptId;

/**
 * Asks engines which of them keeps a prompt, and takes the first that does; on the traffic thread.
 */
final class PromptSearch {
    private final PromptId prompt;
    private final Consumer<Optional<BackendServer>> then;
    private int awaited;
    private boolean over;

    private PromptSearch(PromptId prompt, int asked, Consumer<Optional<BackendServer>> then) {
        this.prompt = checkNotNull(prompt, "prompt");
        this.then = checkNotNull(then, "then");
        awaited = asked;
    }

    /** Tells {@code then}, once, which of {@code engines} keeps {@code prompt}; nothing if none. */
    static void among(
            ImmutableList<BackendServer> engines,
            PromptCacheClient kept,
            PromptId prompt,
            Consumer<Optional<BackendServer>> then) {
        PromptSearch search = new PromptSearch(prompt, engines.size(), then);
        engines.forEach(e -> kept.of(e).thenAccept(prompts -> search.answered(e, prompts)));
    }

    private void answered(BackendServer engine, ImmutableSet<PromptId> prompts) {
        awaited--;
        if (prompts.contains(prompt)) {
            end(Optional.of(engine));
        } else if (awaited == 0) {
            end(Optional.empty());
        }
    }

    private void end(Optional<BackendServer> keeper) {
        if (!over) {
            over = true;
            then.accept(keeper);
        }
    }
}
