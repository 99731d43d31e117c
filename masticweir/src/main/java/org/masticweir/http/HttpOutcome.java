package org.masticweir.http;

import static com.google.common.base.Preconditions.checkNotNull;

/** How an exchange ended: answered, surely never sent, or sent without a whole answer. */
public sealed interface HttpOutcome {
    /** The whole answer arrived before the deadline. */
    record Answered(HttpAnswer answer) implements HttpOutcome {
        public Answered {
            checkNotNull(answer, "answer");
        }
    }

    /** No byte of the request left this process, and none will. */
    record NeverSent(String reason) implements HttpOutcome {
        public NeverSent {
            checkNotNull(reason, "reason");
        }
    }

    /** Bytes of the request may have left, and no whole answer came; it may have had its effect. */
    record MayHaveBeenSent(String reason) implements HttpOutcome {
        public MayHaveBeenSent {
            checkNotNull(reason, "reason");
        }
    }
}
