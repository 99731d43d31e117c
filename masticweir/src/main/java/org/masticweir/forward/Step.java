package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;

/** What a {@link RequestStateMachine} wants done next; immutable. */
public sealed interface Step {
    /** Returns whether the request goes to a server now, or may once it is asked for. */
    default boolean mayLeadToSend() {
        return this instanceof Send
                || this instanceof AcquirePermit
                || this instanceof AcquireRetryPermit;
    }

    /**
     * The request goes to {@code server}.
     *
     * @param copyHolder who keeps a copy of the run as it grows
     * @param fromCopy whether {@code server} holds a copy of the run and goes on from it
     * @param lastEventId last event that the caller has
     */
    record Send(
            BackendServer server,
            Optional<BackendServer> copyHolder,
            boolean fromCopy,
            OptionalLong lastEventId)
            implements Step {
        public Send {
            checkNotNull(server, "server");
            checkNotNull(copyHolder, "copyHolder");
            checkNotNull(lastEventId, "lastEventId");
        }
    }

    /**
     * Engines are to be asked which of them keeps the request's prompt in its memory; what they say
     * goes to {@link RequestStateMachine#onPromptCacheResult}.
     */
    record QueryPromptCaches(ImmutableList<BackendServer> engines) implements Step {
        public QueryPromptCaches {
            checkArgument(!engines.isEmpty(), "nobody to ask");
        }
    }

    /**
     * {@code server} limits what it takes, and a permit for one request is to be had first; the
     * decision goes to {@link RequestStateMachine#onPermitDecision}.
     *
     * @param urgency 0 for the first to be served
     */
    record AcquirePermit(BackendServer server, int urgency) implements Step {
        public AcquirePermit {
            checkNotNull(server, "server");
        }
    }

    /**
     * The request is to be sent again, and a permit for it is to be had first; the decision goes to
     * {@link RequestStateMachine#onRetryDecision}.
     *
     * @param urgency 0 for the first to be served
     */
    record AcquireRetryPermit(int urgency) implements Step {}

    /** Nothing can take the request now; ask again after {@code ms}. */
    record Wait(long delayMs) implements Step {
        public Wait {
            checkArgument(delayMs >= 1, "hold of %s ms", delayMs);
        }
    }

    /**
     * The request ends with an error.
     *
     * @param retryAfterMs when the caller may come back; empty when that can't help
     */
    record End(ErrorCode code, Verdict verdict, OptionalLong retryAfterMs, String reason)
            implements Step {
        public End {
            checkNotNull(code, "code");
            checkNotNull(verdict, "verdict");
            checkNotNull(retryAfterMs, "retryAfterMs");
            checkNotNull(reason, "reason");
        }
    }
}
