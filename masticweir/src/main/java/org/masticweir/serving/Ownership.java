package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.Reliability;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.RouterId;
import org.masticweir.recovery.copy.CopyAction;
import org.masticweir.recovery.copy.CopyEpoch;
import org.masticweir.recovery.copy.CopyEvent;
import org.masticweir.recovery.copy.CopyPlan;
import org.masticweir.recovery.copy.CopySender;
import org.masticweir.recovery.copy.GenerationCopy;
import org.masticweir.recovery.copy.OwnedAnswer;
import org.masticweir.recovery.copy.Placement;
import org.masticweir.recovery.copy.SenderDriver;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * This router's ownership of one request: what is copied to a peer and what may be released.
 *
 * <p>Runs on the request's I/O thread.
 */
final class Ownership {
    private static final Logger LOG = LogManager.getLogger(Ownership.class);

    /** What becomes of the request; each is run at most once. */
    interface Outcomes {
        /** This router owns the request: run it, or go on with it. */
        void run();

        /** Another router owns it. */
        void join();

        /** Another router took it over: stop without cancelling the generation. */
        void fenced();
    }

    private final ServingContext context;
    private final RunningRequest request;
    private final XnioIoThread thread;
    private final Outcomes outcomes;
    private final SenderDriver driver;
    private final CopyEpoch epoch;
    private final boolean opens;
    private GenerationSpec generation;
    private boolean toldUnprotected;

    private Ownership(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            GenerationSpec generation,
            CopySender sender,
            boolean opens,
            Outcomes outcomes) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.thread = checkNotNull(thread, "thread");
        this.generation = checkNotNull(generation, "generation");
        this.outcomes = checkNotNull(outcomes, "outcomes");
        this.opens = opens;
        epoch = sender.epoch();
        driver =
                SenderDriver.of(
                        sender,
                        context.copies().links(),
                        new IoRequestThread(thread),
                        context.clock(),
                        this::onAction);
    }

    /** Returns the ownership of a new request, which a holder may still refuse. */
    static Ownership opening(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            Reliability reliability,
            GenerationSpec generation,
            Outcomes outcomes) {
        GenerationCopy fresh =
                GenerationCopy.fresh(
                        CopyEpoch.first(context.copies().self()), request.spec(), generation);
        CopySender sender =
                CopySender.opening(
                        CopyPlan.defaults(reliability),
                        fresh,
                        request.log()::accepted,
                        context.copies().ranking(),
                        context.clock().nowMs());
        boolean opens = reliability.copiesPlacement();
        return new Ownership(context, request, thread, generation, sender, opens, outcomes);
    }

    /** Returns the ownership of a request taken over; the copy's tokens must be in its log. */
    static Ownership takenOver(
            ServingContext context,
            RunningRequest request,
            XnioIoThread thread,
            Reliability reliability,
            GenerationCopy copy,
            Outcomes outcomes) {
        Clock clock = context.clock();
        CopySender sender =
                CopySender.takenOver(
                        CopyPlan.defaults(reliability),
                        copy,
                        request.log()::accepted,
                        context.copies().ranking(),
                        clock.nowMs());
        return new Ownership(context, request, thread, copy.generation(), sender, false, outcomes);
    }

    /** Starts copying; the outcome may come at once. */
    void start() {
        if (!opens) {
            driver.start();
        } else if (heldHere()) {
            join();
        } else {
            publish(firstHolder());
            driver.start();
        }
    }

    /**
     * Tells whether another router's copy of the request is here.
     *
     * <p>The holder of a copy never asks itself. A caller who came back to it with a new submission
     * would have the request run anew, beside the generation that the copy belongs to.
     */
    private boolean heldHere() {
        return opens && context.copies().links().holds(request.spec().id());
    }

    private Optional<RouterId> firstHolder() {
        return context
                .copies()
                .ranking()
                .holdersFor(request.spec().id(), context.copies().self(), 1)
                .stream()
                .findFirst();
    }

    private void join() {
        request.ownedAs(Optional.empty());
        driver.close();
        outcomes.join();
    }

    private void started() {
        if (heldHere()) {
            // Left to another router while the answer of the holder asked was on its way.
            join();
            return;
        }
        publish(Optional.empty());
        outcomes.run();
    }

    /** Leaves the request, of which nothing ran, to the owner that its key's home named. */
    void withdraw() {
        request.ownedAs(Optional.empty());
        driver.withdraw(request.spec().id());
    }

    /** Notes that an attempt is about to be sent or read again. */
    void placed(AttemptId attempt, EngineId engine) {
        driver.on(new CopyEvent.Placed(new Placement(attempt, engine)));
    }

    /** Notes that the log now holds {@code count} accepted tokens. */
    void accepted(int count) {
        driver.on(new CopyEvent.Accepted(count));
    }

    /** Notes that a new generation starts; the log must have been emptied before. */
    void newGeneration(GenerationSpec next) {
        generation = next;
        publish(Optional.empty());
        driver.on(new CopyEvent.NewGeneration(next));
    }

    /** Notes the end; callers see it once all tokens are released. */
    void ended(AnswerEnd end) {
        driver.on(new CopyEvent.Ended(end));
    }

    private void onAction(CopyAction action) {
        if (action instanceof CopyAction.ReleaseTo release) {
            request.log().releaseTo(release.index());
        } else if (action instanceof CopyAction.Start) {
            started();
        } else if (action instanceof CopyAction.ReleaseEnd end) {
            RequestEnd.end(context, request, thread, end.end());
        } else if (action instanceof CopyAction.Join) {
            join();
        } else if (action instanceof CopyAction.Fenced fenced) {
            onFenced(fenced.by());
        } else if (action instanceof CopyAction.Unprotected state) {
            noteProtection(state.now());
        }
    }

    /** Told once a request: a link that comes and goes would otherwise log each token. */
    private void noteProtection(boolean unprotected) {
        if (unprotected && !toldUnprotected) {
            toldUnprotected = true;
            LOG.warn("copy: request {} goes on without a copy", request.spec().id());
        }
    }

    private void onFenced(CopyEpoch by) {
        LOG.info("copy: request {} was taken over by {}", request.spec().id(), by.owner());
        request.ownedAs(Optional.empty());
        driver.close();
        outcomes.fenced();
        MasticweirException error =
                MasticweirException.of(
                                ErrorCode.SUPERSEDED,
                                Verdict.MAY_HAVE_RUN,
                                "another router goes on with the request")
                        .retryAfterMs(0);
        RequestEnd.end(context, request, thread, new AnswerEnd.Failed(error));
    }

    private void publish(Optional<RouterId> openedAt) {
        request.ownedAs(
                Optional.of(
                        new OwnedAnswer(
                                epoch, request.spec(), generation, request.log(), openedAt)));
    }
}
