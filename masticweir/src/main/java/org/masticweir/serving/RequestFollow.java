package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyLookup;
import org.masticweir.recovery.copy.LookupAction;
import org.masticweir.recovery.copy.LookupDriver;
import org.masticweir.recovery.copy.LookupLimits;
import org.masticweir.recovery.copy.RemoteAnswer;
import org.xnio.XnioIoThread;

/**
 * Serves a request that another router owns: reads the answer there, or takes over from a lost one.
 *
 * <p>Runs on the request's I/O thread.
 */
final class RequestFollow {
    private static final Logger LOG = LogManager.getLogger(RequestFollow.class);
    private static final long LOST_RETRY_MS = 1_000;

    private final ServingContext context;
    private final RunningRequest request;
    private final XnioIoThread thread;
    private final RequestTakeOver takeOver;
    private final Runnable onEnd = this::onEnd;
    private Optional<RouterId> named = Optional.empty();
    private Optional<Runnable> ifNobody = Optional.empty();
    private Optional<RemoteAnswer> remote = Optional.empty();
    private boolean over;

    RequestFollow(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            RequestTakeOver takeOver) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
        this.takeOver = checkNotNull(takeOver, "takeOver");
    }

    /**
     * Finds the owner that the key's home named, and follows it or takes over from it.
     *
     * @param ifNobody runs when no router knows the request; nothing was shown to callers then
     */
    void lookUp(RouterId owner, Runnable ifNobody) {
        named = Optional.of(owner);
        this.ifNobody = Optional.of(ifNobody);
        lookUp();
    }

    /** Finds the owner, and follows it or takes over from it. */
    void lookUp() {
        CopyContext copies = context.copies();
        CopyLookup lookup =
                CopyLookup.of(LookupLimits.defaults(), copies.self(), candidates(copies));
        LookupDriver.of(
                        lookup,
                        request.spec().id(),
                        copies.links(),
                        new IoRequestThread(thread),
                        context.clock(),
                        this::onOutcome)
                .start();
    }

    private ImmutableList<RouterId> candidates(CopyContext copies) {
        ImmutableList<RouterId> ranked =
                copies.ranking()
                        .candidatesFor(
                                request.spec().id(), copies.self(), RequestLookup.CANDIDATES);
        return Stream.concat(named.stream(), ranked.stream())
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    /** Reads the answer of {@code owner}, which was found to serve it. */
    void follow(RouterId owner) {
        ifNobody = Optional.empty();
        LOG.info("serving: request {} is read from {}", request.spec().id(), owner);
        request.cancelWith(() -> thread.execute(this::leave));
        request.log().watch(onEnd);
        new OrphanWatch(context, request, thread).start();
        remote =
                Optional.of(
                        context.copies()
                                .links()
                                .follow(
                                        owner,
                                        request.spec().id(),
                                        request.log(),
                                        () -> thread.execute(this::onLost)));
    }

    private void onOutcome(LookupAction outcome) {
        if (outcome instanceof LookupAction.Following following) {
            if (following.spec().equals(request.spec())) {
                follow(following.owner());
            } else {
                fail(
                        MasticweirException.notRun(
                                ErrorCode.KEY_REUSED,
                                "the idempotency key was used for another request"));
            }
        } else if (outcome instanceof LookupAction.TakenOver taken) {
            takeOver.goOn(request, taken.copy(), request.log().size());
        } else if (ifNobody.isPresent()) {
            ifNobody.get().run();
        } else {
            fail(
                    MasticweirException.of(
                                    ErrorCode.ENGINE_LOST,
                                    Verdict.MAY_HAVE_RUN,
                                    "the router that served the request is lost")
                            .retryAfterMs(LOST_RETRY_MS));
        }
    }

    private void onLost() {
        remote.ifPresent(RemoteAnswer::close);
        request.log().unwatch(onEnd);
        if (!over) {
            lookUp();
        }
    }

    private void onEnd() {
        if (request.log().ended()) {
            thread.execute(this::retire);
        }
    }

    private void retire() {
        if (over) {
            return;
        }
        over = true;
        AnswerEnd end = request.log().read(0, 0).end().orElseThrow();
        RequestEnd.retire(context, request, thread, end);
    }

    /** Nobody here reads any more; the owner goes on for its own callers. */
    private void leave() {
        remote.ifPresent(RemoteAnswer::close);
        fail(
                MasticweirException.of(
                        ErrorCode.CANCELLED, Verdict.MAY_HAVE_RUN, "the request was cancelled"));
    }

    private void fail(MasticweirException error) {
        if (over) {
            return;
        }
        over = true;
        RequestEnd.end(context, request, thread, new AnswerEnd.Failed(error));
    }
}
