package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Consumer;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Deployment;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;
import org.xnio.XnioIoThread;

/** Accepts requests and starts them; thread-safe. */
public final class RequestService {
    private static final long NOT_READY_RETRY_MS = 1_000;

    private final ServingContext context;

    private RequestService(ServingContext context) {
        this.context = checkNotNull(context, "context");
    }

    public static RequestService of(ServingContext context) {
        return new RequestService(context);
    }

    /**
     * Starts the request on {@code thread}, or returns the one that runs under its id.
     *
     * @throws MasticweirException if it is refused; then it did not run
     */
    public RunningRequest submit(RequestSpec spec, XnioIoThread thread) {
        checkNotNull(spec, "spec");
        RequestRegistry registry = context.registry();
        ServingView view = context.view().get();
        if (!view.accepts() && registry.find(spec.id()).isEmpty()) {
            ErrorCode code =
                    !view.intake().accepts() ? ErrorCode.SHUTTING_DOWN : ErrorCode.NO_CONFIGURATION;
            throw MasticweirException.notRun(code, "the router takes no new requests")
                    .retryAfterMs(NOT_READY_RETRY_MS);
        }
        Deployment deployment = view.deployment().orElseThrow();
        WorkClass workClass = classOf(deployment, spec);
        Model model = modelOf(deployment, spec);
        RequestRegistry.Admission admission = registry.admit(spec, context.clock().nowMs());
        RunningRequest request = admission.request();
        if (!request.spec().equals(spec)) {
            throw MasticweirException.notRun(
                    ErrorCode.KEY_REUSED, "the idempotency key was used for another request");
        }
        if (admission.fresh()) {
            start(request, workClass, model, thread);
        }
        return request;
    }

    public RequestRegistry registry() {
        return context.registry();
    }

    public ServingView view() {
        return context.view().get();
    }

    public ServingTuning tuning() {
        return context.tuning();
    }

    private void start(
            RunningRequest request, WorkClass workClass, Model model, XnioIoThread thread) {
        Consumer<RunPermit> run =
                model.kind() == BackEndKind.SERVICE
                        ? p -> ServiceRunner.of(context, request, workClass, model, thread).start(p)
                        : p ->
                                GenerationRunner.of(context, request, workClass, model, thread)
                                        .start(p);
        if (request.spec().idempotent()) {
            run.accept(RunPermit.ALWAYS);
        } else {
            new ClaimedRun(context, request, thread, run).start();
        }
    }

    private static WorkClass classOf(Deployment deployment, RequestSpec spec) {
        return deployment
                .workClass(spec.workClass())
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.UNKNOWN_CLASS,
                                        "no class of work " + spec.workClass()));
    }

    private static Model modelOf(Deployment deployment, RequestSpec spec) {
        return deployment
                .model(spec.model())
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.UNKNOWN_MODEL, "no model " + spec.model()));
    }
}
