package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticweir.generation.RequestSpec;
import org.masticweir.id.RequestId;
import org.masticweir.recovery.copy.CopyLookup;
import org.masticweir.recovery.copy.GenerationCopy;
import org.masticweir.recovery.copy.LookupAction;
import org.masticweir.recovery.copy.LookupDriver;
import org.masticweir.recovery.copy.LookupLimits;
import org.xnio.XnioIoThread;

/** Finds, at other routers, a request of which only the id is known; runs on one I/O thread. */
final class RequestLookup {
    /** Routers of each domain that are asked; as many as an owner tries as holders. */
    static final int CANDIDATES = 4;

    private final ServingContext context;
    private final RequestTakeOver takeOver;
    private final XnioIoThread thread;

    RequestLookup(ServingContext context, RequestTakeOver takeOver, XnioIoThread thread) {
        this.context = checkNotNull(context, "context");
        this.takeOver = checkNotNull(takeOver, "takeOver");
        this.thread = checkNotNull(thread, "thread");
    }

    /**
     * Finds the request and serves it here.
     *
     * @param shown count of tokens that the caller says it has
     * @return the request, or empty when no router that can be reached knows it
     */
    CompletableFuture<Optional<RunningRequest>> find(RequestId id, int shown) {
        CompletableFuture<Optional<RunningRequest>> found = new CompletableFuture<>();
        CopyContext copies = context.copies();
        CopyLookup lookup =
                CopyLookup.of(
                        LookupLimits.defaults(),
                        copies.self(),
                        copies.ranking().candidatesFor(id, copies.self(), CANDIDATES));
        LookupDriver.of(
                        lookup,
                        id,
                        copies.links(),
                        new IoRequestThread(thread),
                        context.clock(),
                        outcome -> found.complete(served(outcome, shown)))
                .start();
        return found;
    }

    private Optional<RunningRequest> served(LookupAction outcome, int shown) {
        if (outcome instanceof LookupAction.Following following) {
            return Optional.of(follow(following));
        }
        if (outcome instanceof LookupAction.TakenOver taken) {
            return Optional.of(takeOver(taken.copy(), shown));
        }
        return Optional.empty();
    }

    private RunningRequest follow(LookupAction.Following following) {
        RequestRegistry.Admission admission = admit(following.spec(), 0);
        if (admission.fresh()) {
            // Before the owner's first answer the log would show no generation, and a caller who
            // names the one that it has would be told that its tokens are void.
            admission.request().log().startGeneration(following.generation().id().number());
            new RequestFollow(context, admission.request(), thread, takeOver)
                    .follow(following.owner());
        }
        return admission.request();
    }

    private RunningRequest takeOver(GenerationCopy copy, int shown) {
        RequestRegistry.Admission admission = admit(copy.spec(), copy.ageMs());
        if (admission.fresh()) {
            takeOver.goOn(admission.request(), copy, shown);
        }
        return admission.request();
    }

    private RequestRegistry.Admission admit(RequestSpec spec, long ageMs) {
        return context.registry().admit(spec, context.clock().nowMs() - ageMs);
    }
}
