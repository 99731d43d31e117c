package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableIntArray;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.WorkClass;
import org.masticweir.engine.AttemptRequest;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.EngineStream;
import org.masticweir.engine.StreamListener;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.Frame;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;
import org.masticweir.id.GenerationId;
import org.masticweir.recovery.ActionLoop;
import org.masticweir.recovery.RecoveryAction;
import org.masticweir.recovery.RecoveryEvent;
import org.masticweir.recovery.RecoveryMachine;
import org.masticweir.recovery.RecoveryPlan;
import org.masticweir.recovery.SilenceBounds;
import org.masticweir.recovery.copy.Placement;
import org.masticweir.retry.RetryDecision;
import org.masticweir.routing.RouteChoice;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Carries out what one request's {@link RecoveryMachine} decides.
 *
 * <p>Everything runs on the one I/O thread that the request was accepted on.
 */
final class GenerationRunner {
    private static final Logger LOG = LogManager.getLogger(GenerationRunner.class);

    private final ServingContext context;
    private final RunningRequest request;
    private final WorkClass workClass;
    private final XnioIoThread thread;
    private final RecoveryMachine machine;
    private final EngineProbe probes;
    private final Ownership ownership;
    private final EngineSearch search;
    private final AttemptWatch attempts;
    private final RecoveryTurn turn;
    private final RetryTurn retry;
    private final ActionLoop<RecoveryAction> actions = ActionLoop.carryingOutBy(this::carryOut);
    private final Map<EngineId, BackEnd> seen = new HashMap<>();

    private GenerationSpec generation;
    private Optional<EngineStream> stream = Optional.empty();
    private Optional<XnioExecutor.Key> wakeUp = Optional.empty();
    private RunPermit permit = RunPermit.ALWAYS;
    private double expectedFirstMs;
    private boolean recovering;

    private GenerationRunner(
            ServingContext context,
            RunningRequest request,
            WorkClass workClass,
            GenerationSpec generation,
            XnioIoThread thread,
            Ownership ownership,
            Optional<RequestRun.TakenOver> taken) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.workClass = checkNotNull(workClass, "workClass");
        this.generation = checkNotNull(generation, "generation");
        this.thread = checkNotNull(thread, "thread");
        this.ownership = checkNotNull(ownership, "ownership");
        retry = new RetryTurn(context.policy(), request, workClass);
        search = new EngineSearch(context, request, workClass);
        attempts = new AttemptWatch(context, request);
        turn =
                new RecoveryTurn(
                        context.policy().recoveries(),
                        thread,
                        () -> feed(new RecoveryEvent.Tick()));
        probes = new EngineProbe(context.calls(), context.tuning().probeTimeoutMs());
        machine = taken.map(this::machineOf).orElseGet(this::newMachine);
    }

    private SilenceBounds silenceBounds() {
        return context.gaps().forRequest(workClass.recovery(), () -> expectedFirstMs);
    }

    private RecoveryMachine newMachine() {
        return RecoveryMachine.of(plan(), silenceBounds());
    }

    private RecoveryMachine machineOf(RequestRun.TakenOver from) {
        Optional<Placement> placement = from.copy().placement();
        if (placement.isEmpty()) {
            return newMachine();
        }
        EngineId on = placement.get().engine();
        context.view().get().routing().engine(on).ifPresent(e -> seen.put(on, e.backEnd()));
        return RecoveryMachine.takenOver(
                plan(),
                silenceBounds(),
                placement.get().attempt(),
                on,
                request.log().size(),
                from.whole());
    }

    /** Returns the runner of a request just accepted, on {@code thread}. */
    static GenerationRunner of(
            ServingContext context,
            RunningRequest request,
            WorkClass workClass,
            GenerationSpec generation,
            XnioIoThread thread,
            Ownership ownership,
            Optional<RequestRun.TakenOver> taken) {
        return new GenerationRunner(
                context, request, workClass, generation, thread, ownership, taken);
    }

    /** Starts the request; call once, on its thread. */
    void start(RunPermit under) {
        permit = checkNotNull(under, "under");
        request.cancelWith(() -> thread.execute(() -> feed(new RecoveryEvent.Cancelled())));
        actions.run(machine.start(now()));
    }

    private RecoveryPlan plan() {
        return new RecoveryPlan(
                generation.id(),
                request.spec().idempotent(),
                request.spec().allowReset(),
                workClass.recovery(),
                request.acceptedAtMs() + workClass.totalMs(),
                context.tuning().maxAttempts(),
                context.tuning().noEngineWaitMs());
    }

    private void feed(RecoveryEvent event) {
        actions.run(machine.on(event, now()));
    }

    private void carryOut(RecoveryAction action) {
        if (action instanceof RecoveryAction.Release release) {
            release(release);
        } else if (action instanceof RecoveryAction.WakeAt wake) {
            wakeAt(wake.atMs());
        } else if (action instanceof RecoveryAction.ChooseEngine choose) {
            choose(choose);
        } else if (action instanceof RecoveryAction.Send send) {
            send(send);
        } else if (action instanceof RecoveryAction.Reread reread) {
            reread(reread);
        } else if (action instanceof RecoveryAction.Probe probe) {
            probe(probe);
        } else if (action instanceof RecoveryAction.Abandon abandon) {
            abandon(abandon);
        } else if (action instanceof RecoveryAction.NewGeneration next) {
            newGeneration(next);
        } else if (action instanceof RecoveryAction.Finish finish) {
            finish(finish.tokens());
        } else if (action instanceof RecoveryAction.Fail fail) {
            fail(fail.error());
        }
    }

    private void release(RecoveryAction.Release release) {
        long nowMs = now();
        request.log().append(release.from(), release.tokens());
        attempts.released(release.tokens().length(), nowMs);
        turn.resumed();
        recovering = false;
        ownership.accepted(release.from() + release.tokens().length());
    }

    private void choose(RecoveryAction.ChooseEngine choose) {
        recovering = choose.recovering();
        RouteChoice choice = search.choose(choose, generation, machine.accepted());
        if (!(choice instanceof RouteChoice.Chosen chosen)) {
            boolean gone = search.versionGone((RouteChoice.None) choice, generation);
            feed(new RecoveryEvent.NoEngine(gone, workClass.firstTokenMs()));
        } else if (recovering && !turn.take(search.recovery(generation, machine.accepted()))) {
            wakeAt(now() + RecoveryTurn.LOOK_AGAIN_MS);
        } else if (!recovering && retry.pending()) {
            decideRetry(chosen);
        } else {
            attempts.chose(chosen);
            expectedFirstMs = chosen.expectedMs();
            seen.put(chosen.view().id(), chosen.view().backEnd());
            feed(new RecoveryEvent.EngineChosen(chosen.view().id()));
        }
    }

    private void decideRetry(RouteChoice.Chosen chosen) {
        RetryDecision decision = retry.decide(chosen, machine.verdict(), now());
        if (decision instanceof RetryDecision.Retry again) {
            wakeAt(now() + again.delayMs());
        } else {
            feed(new RecoveryEvent.Detached());
            fail(((RetryDecision.GiveUp) decision).toException());
        }
    }

    private void send(RecoveryAction.Send send) {
        if (!permit.maySend(now())) {
            feed(new RecoveryEvent.Refused(send.attempt(), workClass.firstTokenMs()));
            return;
        }
        BackEnd backEnd = seen.get(send.engine());
        ImmutableIntArray prefix = request.log().accepted(0, send.prefix());
        AttemptRequest attempt =
                new AttemptRequest(
                        send.attempt(),
                        request.spec(),
                        generation,
                        prefix,
                        AttemptPriority.of(workClass, prefix.length(), recovering));
        if (recovering && prefix.isEmpty()) {
            retry.resent(now());
        } else {
            retry.sent(now());
        }
        attempts.sending(now(), prefix.length(), recovering);
        note(send.engine(), send.attempt());
        closeStream();
        stream =
                Optional.of(
                        context.engines()
                                .send(
                                        thread,
                                        backEnd.address(),
                                        attempt,
                                        new Listener(send.attempt(), false)));
    }

    private void reread(RecoveryAction.Reread reread) {
        Optional<BackEnd> known = Optional.ofNullable(seen.get(reread.engine()));
        if (known.isEmpty()) {
            // Taken over from a router that saw an engine which is gone by now.
            feed(new RecoveryEvent.LinkLost(reread.attempt(), false));
            return;
        }
        BackEnd backEnd = known.get();
        attempts.rereading(reread.engine(), now());
        note(reread.engine(), reread.attempt());
        closeStream();
        stream =
                Optional.of(
                        context.engines()
                                .reread(
                                        thread,
                                        backEnd.address(),
                                        reread.attempt(),
                                        reread.from(),
                                        new Listener(reread.attempt(), true)));
    }

    private void note(EngineId engine, AttemptId attempt) {
        ownership.placed(attempt, engine);
        request.placedAt(
                new RunningRequest.Placement(
                        engine.value(), attempt.generation().number(), attempt.number()));
    }

    private void probe(RecoveryAction.Probe probe) {
        if (!seen.containsKey(probe.engine())) {
            feed(new RecoveryEvent.ProbeFailed(probe.attempt()));
            return;
        }
        probes.probe(seen.get(probe.engine()).address(), probe.attempt())
                .thenAccept(event -> thread.execute(() -> onProbe(probe.engine(), event)));
    }

    private void onProbe(EngineId engine, RecoveryEvent told) {
        feed(request.spec().idempotent() ? read(engine, told) : told);
        attempts.probed(engine, told);
    }

    private RecoveryEvent read(EngineId engine, RecoveryEvent told) {
        return ProbeReading.of(
                told,
                engine,
                context.view().get().routing(),
                request.spec().model(),
                generation.version());
    }

    private void abandon(RecoveryAction.Abandon abandon) {
        closeStream();
        attempts.ended(now());
        // An engine that a lost router chose may be gone from the list: nobody is there to tell.
        Optional.ofNullable(seen.get(abandon.engine()))
                .ifPresent(e -> EngineCancel.send(context.calls(), e.address(), abandon.attempt()));
    }

    private void newGeneration(RecoveryAction.NewGeneration next) {
        closeStream();
        turn.ended();
        GenerationId id = GenerationId.of(request.spec().id(), next.number());
        GenerationSpec old = generation;
        generation =
                search.declaredModel()
                        .map(model -> GenerationSpec.pin(id, model.pinned()))
                        .orElseGet(() -> old.numbered(id));
        request.log().startGeneration(next.number());
        ownership.newGeneration(generation);
    }

    private void finish(int tokens) {
        end(new AnswerEnd.Completed(""));
        context.observer().completed(request.spec(), now() - request.acceptedAtMs(), tokens);
    }

    private void fail(MasticweirException error) {
        end(new AnswerEnd.Failed(error));
        LOG.info(
                "recovery: request {} given up, {} {}, {}",
                request.spec().id(),
                error.code(),
                error.verdict(),
                error.getMessage());
        context.observer().failed(request.spec(), error, now() - request.acceptedAtMs());
    }

    /** Lets go of the generation, which another router reads on. */
    void detach() {
        feed(new RecoveryEvent.Detached());
        closeStream();
        attempts.ended(now());
        turn.ended();
        wakeUp.ifPresent(XnioExecutor.Key::remove);
        wakeUp = Optional.empty();
    }

    private void end(AnswerEnd how) {
        closeStream();
        attempts.ended(now());
        turn.ended();
        wakeUp.ifPresent(XnioExecutor.Key::remove);
        wakeUp = Optional.empty();
        ownership.ended(how);
    }

    private void closeStream() {
        stream.ifPresent(EngineStream::close);
        stream = Optional.empty();
    }

    private void wakeAt(long atMs) {
        wakeUp.ifPresent(XnioExecutor.Key::remove);
        long delayMs = Math.max(1, atMs - now());
        wakeUp =
                Optional.of(
                        thread.executeAfter(
                                () -> feed(new RecoveryEvent.Tick()),
                                delayMs,
                                TimeUnit.MILLISECONDS));
    }

    private long now() {
        return context.clock().nowMs();
    }

    /** Turns what one stream says into events of its attempt. */
    private final class Listener implements StreamListener {
        private final AttemptId attempt;
        private final boolean read;

        Listener(AttemptId attempt, boolean read) {
            this.attempt = attempt;
            this.read = read;
        }

        @Override
        public void frame(Frame frame) {
            feed(new RecoveryEvent.Received(attempt, frame));
        }

        @Override
        public void refused(long retryAfterMs) {
            attempts.refused();
            retry.failed(ErrorCode.OVERLOADED, retryAfterMs);
            feed(new RecoveryEvent.Refused(attempt, retryAfterMs));
        }

        @Override
        public void unknown() {
            feed(new RecoveryEvent.Unknown(attempt));
        }

        @Override
        public void lost(boolean sent) {
            attempts.lost(sent);
            if (!sent && !read) {
                retry.neverLeft();
            }
            feed(new RecoveryEvent.LinkLost(attempt, sent));
        }
    }
}
