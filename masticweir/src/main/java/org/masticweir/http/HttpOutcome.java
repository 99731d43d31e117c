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

    /**
     * No byte of the request left this process, and none will.
     *
     * @param withheld whether this process held it back by a bound of its own, which says nothing
     *     of the peer
     */
    record NeverSent(String reason, boolean withheld) implements HttpOutcome {
        public NeverSent {
            checkNotNull(reason, "reason");
        }
    }

    /** Returns whether the exchange was held back by this process, and says nothing of the peer. */
    default boolean isWithheld() {
        return this instanceof NeverSent never && never.withheld();
    }

    /**
     * Bytes of the request may have left, and no whole answer came; it may have had its effect.
     *
     * @param isAnswering whether bytes of an answer came until this process ended the exchange,
     *     because the answer was too long or late, which shows that the peer is alive
     */
    record MayHaveBeenSent(String reason, boolean isAnswering) implements HttpOutcome {
        public MayHaveBeenSent {
            checkNotNull(reason, "reason");
        }
    }

    /** Returns whether the peer was sending an answer when this process ended the exchange. */
    default boolean showsAnsweringPeer() {
        return this instanceof MayHaveBeenSent sent && sent.isAnswering();
    }
}
