package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;
import org.masticweir.generation.Acceptance;
import org.masticweir.generation.Assembler;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;

/**
 * Carries one request from its first attempt to its one final outcome.
 *
 * <p>Feed it what happened with {@link #on}; it returns what to do. A broken stream is first read
 * again from the same engine, which costs no token; only an engine that is gone, silent past its
 * probes, or without the generation makes it move. Not thread-safe: owned by one thread.
 */
public final class RecoveryMachine {
    /** Pause before the router is asked again for an engine, while none has room. */
    static final long CHOOSE_AGAIN_MS = 100;

    /** Pause between two probes of a silent engine. */
    static final long PROBE_AGAIN_MS = 50;

    private static final Logger LOG = LogManager.getLogger(RecoveryMachine.class);

    private enum Phase {
        CHOOSING,
        STARTING,
        STREAMING,
        DONE
    }

    private final RecoveryPlan plan;
    private final SilenceBounds bounds;
    private final Assembler assembler;
    private final RunDoubt doubt = new RunDoubt();
    private final SilenceWatch silence = new SilenceWatch();
    private final LossRecord losses = new LossRecord();
    private final CopyGap gap;
    private final ProbeJudge probes;
    private final ActionList out;

    private Phase phase = Phase.CHOOSING;
    private EngineId engine;
    private boolean rereading;
    private long advisedRetryMs = CHOOSE_AGAIN_MS;

    private RecoveryMachine(
            RecoveryPlan plan, SilenceBounds bounds, Assembler assembler, CopyGap gap) {
        this.plan = checkNotNull(plan, "plan");
        this.bounds = checkNotNull(bounds, "bounds");
        this.assembler = assembler;
        this.gap = gap;
        probes = new ProbeJudge(plan, silence, gap);
        out = ActionList.until(plan.deadlineAtMs());
    }

    /** Returns the machine of a request of which nothing was sent yet. */
    public static RecoveryMachine of(RecoveryPlan plan, SilenceBounds bounds) {
        AttemptId first = AttemptId.of(plan.generation(), 1);
        return new RecoveryMachine(plan, bounds, Assembler.startingAt(first, 0), CopyGap.none());
    }

    /**
     * Returns the machine of a request taken over from another router, as its copy describes it.
     *
     * @param last the last attempt that the copy names
     * @param accepted count of the tokens that the copy holds
     * @param whole whether those are surely all that callers were shown; else the generation only
     *     goes on from its own engine's stream
     */
    public static RecoveryMachine takenOver(
            RecoveryPlan plan,
            SilenceBounds bounds,
            AttemptId last,
            EngineId on,
            int accepted,
            boolean whole) {
        CopyGap gap = whole ? CopyGap.none() : CopyGap.afterPartialCopy();
        RecoveryMachine machine =
                new RecoveryMachine(plan, bounds, Assembler.startingAt(last, accepted), gap);
        machine.engine = checkNotNull(on, "on");
        machine.doubt.ran();
        return machine;
    }

    /** Returns the first actions. */
    public ImmutableList<RecoveryAction> start(long nowMs) {
        out.wakeAt(plan.deadlineAtMs());
        if (engine == null) {
            out.add(new RecoveryAction.ChooseEngine(losses.excluded(), false));
        } else {
            losses.lost(nowMs);
            rereadSameEngine(nowMs);
            if (gap.asksHead()) {
                out.add(new RecoveryAction.Probe(assembler.current(), engine));
            }
        }
        return out.drain();
    }

    /** Takes one event and returns what to do about it. */
    public ImmutableList<RecoveryAction> on(RecoveryEvent event, long nowMs) {
        checkNotNull(event, "event");
        if (phase == Phase.DONE) {
            return ImmutableList.of();
        }
        if (event instanceof RecoveryEvent.Received received) {
            onReceived(received, nowMs);
        } else if (event instanceof RecoveryEvent.EngineChosen chosen) {
            onChosen(chosen.engine(), nowMs);
        } else if (event instanceof RecoveryEvent.NoEngine none) {
            onNoEngine(none, nowMs);
        } else if (event instanceof RecoveryEvent.Refused refused) {
            onRefused(refused, nowMs);
        } else if (event instanceof RecoveryEvent.LinkLost lost) {
            onLinkLost(lost, nowMs);
        } else if (event instanceof RecoveryEvent.Unknown unknown) {
            onUnknown(unknown.attempt(), nowMs);
        } else if (event instanceof RecoveryEvent.Probed probed) {
            onProbed(probed, nowMs);
        } else if (event instanceof RecoveryEvent.Detached) {
            phase = Phase.DONE;
        } else if (event instanceof RecoveryEvent.Cancelled) {
            abandon();
            fail(ErrorCode.CANCELLED, "the request was cancelled");
        } else {
            onTick(nowMs);
        }
        return out.drain();
    }

    /** Returns the count of tokens accepted so far. */
    public int accepted() {
        return assembler.next();
    }

    public AttemptId attempt() {
        return assembler.current();
    }

    /** Tells whether the request has had its final outcome. */
    public boolean done() {
        return phase == Phase.DONE;
    }

    /** Returns what is known about whether the request ran, were it given up now. */
    public Verdict verdict() {
        return doubt.verdict();
    }

    /**
     * Tells whether {@code attempt} is the current one and not given up.
     *
     * <p>An attempt that was left stays the current one until an engine is chosen. What still comes
     * of it then must not lead back to the engine that was told to stop.
     */
    private boolean isUnderWay(AttemptId attempt) {
        return phase != Phase.CHOOSING && attempt.equals(assembler.current());
    }

    private void onChosen(EngineId chosen, long nowMs) {
        if (phase != Phase.CHOOSING) {
            return;
        }
        if (engine != null) {
            assembler.supersedeWith(assembler.current().next());
        }
        engine = chosen;
        doubt.sent();
        rereading = false;
        beginAttempt(nowMs);
        out.add(new RecoveryAction.Send(assembler.current(), engine, assembler.next()));
    }

    private void onNoEngine(RecoveryEvent.NoEngine none, long nowMs) {
        if (phase != Phase.CHOOSING) {
            return;
        }
        advisedRetryMs = Math.max(none.retryAfterMs(), CHOOSE_AGAIN_MS);
        if (none.versionGone() && startNewGeneration()) {
            return;
        }
        if (losses.recoveringFor(plan.noEngineWaitMs(), nowMs)) {
            losses.excludeNone();
            out.wakeAt(nowMs + CHOOSE_AGAIN_MS);
            return;
        }
        fail(ErrorCode.NO_ENGINE, "no engine can take the request");
    }

    private boolean startNewGeneration() {
        boolean released = assembler.next() > 0;
        if (!plan.idempotent() && doubt.mayHaveRun() || released && !plan.allowReset()) {
            return false;
        }
        beginGeneration(assembler.generation().number() + 1, released);
        return true;
    }

    private void beginGeneration(int number, boolean released) {
        GenerationId generation = GenerationId.of(assembler.generation().request(), number);
        assembler.supersedeWith(AttemptId.of(generation, 1));
        engine = null;
        out.add(new RecoveryAction.NewGeneration(number, released));
        out.add(new RecoveryAction.ChooseEngine(losses.excluded(), released));
    }

    private void onRefused(RecoveryEvent.Refused refused, long nowMs) {
        if (!isUnderWay(refused.attempt())) {
            return;
        }
        advisedRetryMs = Math.max(refused.retryAfterMs(), CHOOSE_AGAIN_MS);
        leaves(rereading ? "which refuses to be read again" : "which refuses");
        if (rereading) {
            // A read was refused, not a send: the generation may run on at the engine, and what
            // callers saw of it may not be sent elsewhere as if nothing had run.
            noteLoss(nowMs);
            move(nowMs);
            return;
        }
        doubt.refused();
        chooseAgain(nowMs);
    }

    private void onLinkLost(RecoveryEvent.LinkLost lost, long nowMs) {
        if (!isUnderWay(lost.attempt())) {
            return;
        }
        if (!lost.sent() && !rereading) {
            leaves("which was not reached");
            doubt.refused();
            chooseAgain(nowMs);
            return;
        }
        noteLoss(nowMs);
        if (rereading && phase == Phase.STARTING) {
            leaves("which was lost and cannot be read again");
            move(nowMs);
        } else {
            rereadSameEngine(nowMs);
        }
    }

    private void onUnknown(AttemptId attempt, long nowMs) {
        if (isUnderWay(attempt)) {
            leaves("which does not know it");
            noteLoss(nowMs);
            move(nowMs);
        }
    }

    private void leaves(String reason) {
        LOG.info("recovery: {} leaves engine {}, {}", assembler.current(), engine, reason);
    }

    private void onReceived(RecoveryEvent.Received received, long nowMs) {
        if (!isUnderWay(received.stream())) {
            // A superseded engine woke up and still sends: its stream no longer counts.
            return;
        }
        Frame frame = received.frame();
        Acceptance acceptance = assembler.accept(frame);
        if (acceptance instanceof Acceptance.Accepted accepted) {
            onProgress(nowMs);
            out.add(new RecoveryAction.Release(accepted.from(), accepted.tokens()));
        } else if (acceptance instanceof Acceptance.Started) {
            phase = Phase.STREAMING;
            doubt.ran();
            silence.heard(nowMs);
        } else if (acceptance instanceof Acceptance.Whole whole) {
            phase = Phase.DONE;
            out.add(new RecoveryAction.Finish(whole.count()));
        } else if (acceptance instanceof Acceptance.Gap) {
            noteLoss(nowMs);
            rereadSameEngine(nowMs);
        } else if (acceptance instanceof Acceptance.WrongEcho) {
            leaves("which answers with another generation");
            noteLoss(nowMs);
            move(nowMs);
        }
    }

    private void onProgress(long nowMs) {
        gap.accepted(assembler.next());
        if (silence.tokens(nowMs)) {
            out.wakeAt(nowMs + bound());
        }
        losses.progress();
    }

    private void onTick(long nowMs) {
        if (nowMs >= plan.deadlineAtMs()) {
            abandon();
            fail(ErrorCode.DEADLINE_EXCEEDED, "the class's total time is over");
            return;
        }
        if (phase == Phase.CHOOSING) {
            out.add(new RecoveryAction.ChooseEngine(losses.excluded(), losses.recovering()));
            return;
        }
        long dueMs = silence.dueAtMs(bound());
        if (nowMs < dueMs) {
            out.wakeAt(dueMs);
            return;
        }
        if (silence.listenAgain(out.lateMs(nowMs))) {
            out.wakeAt(nowMs + SilenceWatch.LISTEN_AGAIN_MS);
            return;
        }
        if (silence.startProbe()) {
            out.add(new RecoveryAction.Probe(assembler.current(), engine));
        }
        // Also while a probe is out: were its answer lost, nothing else would end the request.
        out.wakeAt(nowMs + bound());
    }

    private void onProbed(RecoveryEvent.Probed probed, long nowMs) {
        if (isUnderWay(probed.attempt())) {
            boolean onItsWay = phase == Phase.STARTING && !rereading;
            ProbeJudge.Standing standing =
                    new ProbeJudge.Standing(onItsWay, assembler.next(), bound());
            carryOut(probes.judge(probed, standing, nowMs), nowMs);
        }
    }

    private void carryOut(ProbeVerdict verdict, long nowMs) {
        switch (verdict) {
            case NOTHING:
                break;
            case LISTEN:
                out.wakeAt(silence.dueAtMs(bound()));
                break;
            case PROBE_AGAIN:
                // A refused connection fails a probe at once: without the pause the probes of a
                // whole patience would be spent, or sent by the thousand, in one instant.
                out.wakeAt(nowMs + PROBE_AGAIN_MS);
                break;
            case REREAD:
                noteLoss(nowMs);
                rereadSameEngine(nowMs);
                break;
            case LEAVE:
            default:
                LOG.info(
                        "recovery: {} leaves engine {}, {}, bound {} ms",
                        assembler.current(),
                        engine,
                        silence.told(nowMs),
                        bound());
                noteLoss(nowMs);
                move(nowMs);
                break;
        }
    }

    private void rereadSameEngine(long nowMs) {
        if (tooManyAttempts()) {
            return;
        }
        assembler.supersedeWith(assembler.current().next());
        rereading = true;
        beginAttempt(nowMs);
        out.add(new RecoveryAction.Reread(assembler.current(), engine, assembler.next()));
    }

    private void move(long nowMs) {
        abandon();
        if (!plan.idempotent()) {
            // The engine may have run it to the end: a second send could run it twice.
            fail(ErrorCode.ENGINE_LOST, "the engine was lost after the request may have run");
            return;
        }
        if (gap.isOpen()) {
            // Callers may have been shown tokens that no copy holds: computed again, they could
            // differ, and the answer would be stitched together from two computations.
            abandonGeneration();
            return;
        }
        chooseAgain(nowMs);
    }

    private void abandonGeneration() {
        gap.close();
        losses.exclude(engine);
        phase = Phase.CHOOSING;
        silence.endProbes();
        int number = assembler.generation().number() + 1;
        beginGeneration(number, true);
    }

    private void chooseAgain(long nowMs) {
        if (tooManyAttempts()) {
            return;
        }
        losses.exclude(engine);
        silence.endProbes();
        phase = Phase.CHOOSING;
        out.add(new RecoveryAction.ChooseEngine(losses.excluded(), losses.recovering()));
    }

    private boolean tooManyAttempts() {
        if (!losses.attemptsExceed(plan.maxAttempts())) {
            return false;
        }
        abandon();
        fail(ErrorCode.ENGINE_LOST, "attempts without a new token: " + plan.maxAttempts());
        return true;
    }

    private void beginAttempt(long nowMs) {
        phase = Phase.STARTING;
        silence.begin(nowMs);
        out.wakeAt(nowMs + bound());
    }

    private void noteLoss(long nowMs) {
        doubt.ran();
        losses.lost(nowMs);
    }

    private void abandon() {
        if (engine != null && phase != Phase.CHOOSING) {
            out.add(new RecoveryAction.Abandon(assembler.current(), engine));
        }
    }

    private void fail(ErrorCode code, String message) {
        phase = Phase.DONE;
        MasticweirException error =
                MasticweirException.of(code, verdict(), message).retryAfterMs(advisedRetryMs);
        out.add(new RecoveryAction.Fail(error));
    }

    private long bound() {
        return bounds.boundMs(engine, !silence.firstTokenSeen() && !rereading);
    }
}
