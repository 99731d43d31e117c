package org.masticweir.limits;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.RequestId;

/** The decision on a new request; immutable. */
public sealed interface AdmissionDecision {
    /** Returns the request that was decided on. */
    RequestId request();

    /** The request may be sent now. */
    record Admitted(RequestId request) implements AdmissionDecision {
        public Admitted {
            checkNotNull(request, "request");
        }
    }

    /**
     * The request is queued; a later {@link AdmissionController#tick} decides.
     *
     * @param expectedWaitMs predicted time in the queue, in ms
     */
    record Queued(RequestId request, long expectedWaitMs) implements AdmissionDecision {
        public Queued {
            checkNotNull(request, "request");
        }
    }

    /**
     * The request is refused for good and was never sent.
     *
     * @param retryAfterMs delay after which the caller should retry, in ms
     */
    record Refused(RequestId request, ErrorCode code, long retryAfterMs)
            implements AdmissionDecision {
        public Refused {
            checkNotNull(request, "request");
            checkNotNull(code, "code");
            checkArgument(retryAfterMs >= 0, "retry after %s ms", retryAfterMs);
        }

        /** Returns the error to send to the caller. */
        public MasticweirException toException() {
            return MasticweirException.notRun(code, "not admitted").retryAfterMs(retryAfterMs);
        }
    }
}
