package org.masticweir.forward;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;

/** Next step of a request, as decided by its {@link RequestStateMachine}; immutable. */
public sealed interface Step {
    /** Returns whether this step sends the request or acquires a permit for a send. */
    default boolean mayLeadToSend() {
        return this instanceof Send
                || this instanceof AcquirePermit
                || this instanceof AcquireRetryPermit;
    }

    /**
     * Sends the request to {@code server}.
     *
     * @param copyHolder server that receives a copy of the run's progress
     * @param fromCopy whether {@code server} resumes the run from its copy
     * @param lastEventId last event that the caller has received
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
     * Queries engines for the request's cached prompt; the result goes to {@link
     * RequestStateMachine#onPromptCacheResult}.
     */
    record QueryPromptCaches(ImmutableList<BackendServer> engines) implements Step {
        public QueryPromptCaches {
            checkArgument(!engines.isEmpty(), "no engines to query");
        }
    }

    /**
     * Requests a permit for one request to the rate-limited {@code server}; the decision goes to
     * {@link RequestStateMachine#onPermitDecision}.
     *
     * @param urgency 0 for the most urgent
     */
    record AcquirePermit(BackendServer server, int urgency) implements Step {
        public AcquirePermit {
            checkNotNull(server, "server");
        }
    }

    /**
     * Requests a retry permit; the decision goes to {@link RequestStateMachine#onRetryDecision}.
     *
     * @param urgency 0 for the most urgent
     */
    record AcquireRetryPermit(int urgency) implements Step {}

    /**
     * Waits because no server can accept the request now; the next step is requested after {@code
     * delayMs}.
     */
    record Wait(long delayMs) implements Step {
        public Wait {
            checkArgument(delayMs >= 1, "wait of %s ms", delayMs);
        }
    }

    /**
     * Ends the request with an error.
     *
     * @param retryAfterMs when the caller may retry; empty if a retry can't help
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
