package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.config.Deployment;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
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
     * @param keyed whether the caller named an idempotency key
     * @throws MasticweirException if it is refused; then it did not run
     */
    public RunningRequest submit(RequestSpec spec, boolean keyed, XnioIoThread thread) {
        checkNotNull(spec, "spec");
        RequestRegistry registry = context.registry();
        ServingView view = context.view().get();
        if (!view.accepts() && registry.find(spec.id()).isEmpty()) {
            ErrorCode code =
                    !view.intake().accepts() ? ErrorCode.SHUTTING_DOWN : ErrorCode.NO_CONFIGURATION;
            throw MasticweirException.notRun(code, "the router takes no new requests")
                    .retryAfterMs(NOT_READY_RETRY_MS);
        }
        RequestRun.Service service = serviceFor(spec);
        RequestRegistry.Admission admission = registry.admit(spec, context.clock().nowMs());
        RunningRequest request = admission.request();
        if (!admission.fresh()) {
            request.share();
        }
        if (!request.spec().equals(spec)) {
            throw MasticweirException.notRun(
                    ErrorCode.KEY_REUSED, "the idempotency key was used for another request");
        }
        if (admission.fresh()) {
            RequestRun.Joining joining = named -> follow(request, service, thread, named);
            RequestRun.opening(context, request, service, thread, keyed, joining).start();
        }
        return request;
    }

    /** Tells whether this router runs, reads or keeps a copy of the request {@code id}. */
    public boolean knows(RequestId id) {
        return context.registry().find(id).isPresent() || context.copies().links().holds(id);
    }

    /**
     * Finds a request by its id, here or at another router, and serves it here.
     *
     * @param shown count of tokens that the caller says it has
     * @return completes on {@code thread}
     */
    public CompletableFuture<Optional<RunningRequest>> find(
            RequestId id, int shown, XnioIoThread thread) {
        Optional<RunningRequest> here = context.registry().find(id);
        if (here.isPresent()) {
            return CompletableFuture.completedFuture(here);
        }
        return new RequestLookup(context, takeOver(thread), thread).find(id, shown);
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

    private void follow(
            RunningRequest request,
            RequestRun.Service service,
            XnioIoThread thread,
            Optional<RouterId> named) {
        request.share();
        RequestFollow follow = new RequestFollow(context, request, thread, takeOver(thread));
        if (named.isPresent()) {
            Runnable again = () -> openAgain(request, service, thread, named.get());
            follow.lookUp(named.get(), again);
        } else {
            follow.lookUp();
        }
    }

    /**
     * Runs a request whose key is registered for a router that is not found, nor any copy.
     *
     * <p>A router that died with its domain shows like this for as long as the home keeps the key:
     * each submission of it would end in an error. Once only: a router that the home still names
     * then is one that the home can reach and this router can't.
     */
    private void openAgain(
            RunningRequest request,
            RequestRun.Service service,
            XnioIoThread thread,
            RouterId lost) {
        context.copies().keys().release(request.spec().id(), lost);
        RequestRun.Joining joining =
                named -> new RequestFollow(context, request, thread, takeOver(thread)).lookUp();
        RequestRun.opening(context, request, service, thread, true, joining).start();
    }

    private RequestTakeOver takeOver(XnioIoThread thread) {
        return new RequestTakeOver(context, this::serviceFor, thread);
    }

    private RequestRun.Service serviceFor(RequestSpec spec) {
        Deployment deployment =
                context.view()
                        .get()
                        .deployment()
                        .orElseThrow(
                                () ->
                                        MasticweirException.notRun(
                                                        ErrorCode.NO_CONFIGURATION,
                                                        "the router has no configuration yet")
                                                .retryAfterMs(NOT_READY_RETRY_MS));
        return new RequestRun.Service(classOf(deployment, spec), modelOf(deployment, spec));
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
