package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.config.BackEndKind;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.RequestSpec;
import org.masticweir.limits.AdmissionDecision;
import org.masticweir.limits.AdmissionRequest;
import org.xnio.XnioIoThread;

/**
 * One new request until it is let in, refused or cancelled; owned by the request's thread.
 *
 * <p>Nothing was sent before the admission, so all errors of this part say that it was not run.
 */
final class NewWork {
    private final ServingContext context;
    private final RunningRequest request;
    private final XnioIoThread thread;
    private final Ownership ownership;
    private final Runnable run;
    private boolean decided;

    /**
     * Creates the work of {@code request}.
     *
     * @param run starts the request once it is let in
     */
    NewWork(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            Ownership ownership,
            Runnable run) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
        this.ownership = checkNotNull(ownership, "ownership");
        this.run = checkNotNull(run, "run");
    }

    /** Asks for admission; call once, on the request's thread. */
    void start(WorkClass workClass, Model model) {
        request.cancelWith(() -> thread.execute(this::cancel));
        context.policy().admission().offer(workOf(workClass, model), thread, this::decide);
    }

    private AdmissionRequest workOf(WorkClass workClass, Model model) {
        RequestSpec spec = request.spec();
        boolean service = model.kind() == BackEndKind.SERVICE;
        return new AdmissionRequest(
                spec.id(),
                spec.team(),
                workClass,
                model.id(),
                model.version(),
                spec.prompt().length(),
                service ? 1 : spec.maxTokens(),
                request.acceptedAtMs());
    }

    private void decide(AdmissionDecision decision) {
        // Another router may have taken the request over while it waited here.
        if (decided || request.log().ended()) {
            return;
        }
        decided = true;
        if (decision instanceof AdmissionDecision.Refused refused) {
            fail(refused.toException());
        } else {
            RequestSpec spec = request.spec();
            context.policy().shares().recordUsage(spec.team(), spec.prompt().length(), now());
            run.run();
        }
    }

    private void cancel() {
        if (!decided) {
            decided = true;
            fail(MasticweirException.notRun(ErrorCode.CANCELLED, "the request was cancelled"));
        }
    }

    private void fail(MasticweirException error) {
        context.observer().failed(request.spec(), error, now() - request.acceptedAtMs());
        ownership.ended(new AnswerEnd.Failed(error));
    }

    private long now() {
        return context.clock().nowMs();
    }
}
