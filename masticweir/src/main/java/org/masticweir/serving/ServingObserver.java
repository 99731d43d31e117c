package org.masticweir.serving;

import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;

/** Hears what requests experience, for metrics; called on traffic threads, must not block. */
public interface ServingObserver {
    /** The first token of {@code request} came {@code ms} after it was accepted. */
    void firstToken(RequestSpec request, long ms);

    /** {@code ms} passed between two frames of tokens. */
    void tokenGap(RequestSpec request, long ms);

    /** The answer was whole {@code ms} after the request was accepted. */
    void completed(RequestSpec request, long ms, int tokens);

    /** The request had its final error {@code ms} after it was accepted. */
    void failed(RequestSpec request, MasticweirException error, long ms);

    /**
     * Tokens flowed again after a loss.
     *
     * @param ms time from the last token before the loss to the first after it
     * @param moved whether another engine went on with the generation
     * @param recomputed tokens of prompt and answer that the new engine was sent as prefill
     */
    void resumed(RequestSpec request, long ms, boolean moved, int recomputed);

    /** Returns an observer that does nothing. */
    static ServingObserver none() {
        return NoObserver.INSTANCE;
    }
}
