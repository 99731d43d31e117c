package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/**
 * All that one caller saw of its request, in the order in which it opened connections; immutable.
 *
 * @param work what was asked for
 * @param ended whether the last connection ended by a final word, and not by the caller's patience
 * @param unended connections that gave no end until the run's, each described
 */
record CallTrace(
        FaultPlan.Work work,
        CallRequest request,
        ImmutableList<CallPart> parts,
        boolean ended,
        ImmutableList<String> unended,
        long startedAtMs,
        long endedAtMs) {
    CallTrace {
        checkNotNull(work, "work");
        checkNotNull(request, "request");
        parts = ImmutableList.copyOf(parts);
        unended = ImmutableList.copyOf(unended);
    }

    /** Returns the id that routers and stand-ins know the request by. */
    String requestId() {
        return RequestId.forKey(TeamId.of(request.team()), request.key()).value();
    }

    boolean service() {
        return work == FaultPlan.Work.SERVICE;
    }

    /** Returns the part whose word the caller took as the last; the trace must have parts. */
    CallPart last() {
        return parts.get(parts.size() - 1);
    }

    /** Returns the final verdict, or how the call ended without one. */
    String verdict() {
        if (parts.isEmpty() || !ended) {
            return "NONE";
        }
        return last().verdict();
    }

    /** Returns one violation of a promise as text. */
    String violation(String what) {
        return request.key() + " (" + requestId() + "): " + what + ", " + List.copyOf(parts);
    }
}
