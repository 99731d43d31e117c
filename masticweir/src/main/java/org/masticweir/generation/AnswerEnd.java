package org.masticweir.generation;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.MasticweirException;

/** How an answer ended: whole, or with the one final error of its request. */
public sealed interface AnswerEnd {
    /** The whole answer is in the log; {@code result} is a plain service's text, else empty. */
    record Completed(String result) implements AnswerEnd {
        public Completed {
            checkNotNull(result, "result");
        }
    }

    /** The request was given up on. */
    record Failed(MasticweirException error) implements AnswerEnd {
        public Failed {
            checkNotNull(error, "error");
        }
    }
}
