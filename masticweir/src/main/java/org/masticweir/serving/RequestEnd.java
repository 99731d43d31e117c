package org.masticweir.serving;

import java.util.concurrent.TimeUnit;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.xnio.XnioIoThread;

/** Gives a request its final outcome and decides how long it stays readable. */
final class RequestEnd {
    private RequestEnd() {}

    /** Ends {@code request}; call once, on its thread. */
    static void end(
            ServingContext context, RunningRequest request, XnioIoThread thread, AnswerEnd how) {
        retire(context, request, thread, how);
        request.log().finish(how);
    }

    /** Frees the place of {@code request}, whose log has ended or is about to end as told. */
    static void retire(
            ServingContext context, RunningRequest request, XnioIoThread thread, AnswerEnd how) {
        // Before it can be submitted again: one id must not stand twice at the gate.
        context.policy().admission().finished(request.spec().id());
        context.registry().finished();
        if (mayRunAgain(request, how)) {
            // Forgotten first: a caller who asks again at once must not get this end once more.
            context.registry().forget(request);
            return;
        }
        thread.executeAfter(
                () -> context.registry().forget(request),
                context.tuning().retainMs(),
                TimeUnit.MILLISECONDS);
    }

    private static boolean mayRunAgain(RunningRequest request, AnswerEnd how) {
        if (!(how instanceof AnswerEnd.Failed failed)) {
            return false;
        }
        Verdict verdict = failed.error().verdict();
        // Of a duplicate nothing was sent here; the claim's row is asked again, since the answer of
        // the submission that has the claim may be stored by then.
        return request.spec().idempotent()
                || verdict.safeToSendAgain()
                || failed.error().code() == ErrorCode.DUPLICATE
                || failed.error().code() == ErrorCode.SUPERSEDED;
    }
}
