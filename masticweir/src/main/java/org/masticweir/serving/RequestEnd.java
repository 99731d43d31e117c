package org.masticweir.serving;

import java.util.concurrent.TimeUnit;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.xnio.XnioIoThread;

/** Gives a request its final outcome and decides how long it stays readable. */
final class RequestEnd {
    private RequestEnd() {}

    /** Ends {@code request}; call once, on its thread. */
    static void end(
            ServingContext context, RunningRequest request, XnioIoThread thread, AnswerEnd how) {
        context.registry().finished();
        if (mayRunAgain(request, how)) {
            // Forgotten first: a caller who asks again at once must not get this end once more.
            context.registry().forget(request);
        } else {
            thread.executeAfter(
                    () -> context.registry().forget(request),
                    context.tuning().retainMs(),
                    TimeUnit.MILLISECONDS);
        }
        request.log().finish(how);
    }

    private static boolean mayRunAgain(RunningRequest request, AnswerEnd how) {
        if (!(how instanceof AnswerEnd.Failed failed)) {
            return false;
        }
        Verdict verdict = failed.error().verdict();
        return request.spec().idempotent() || verdict.safeToSendAgain();
    }
}
