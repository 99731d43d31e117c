package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.recovery.copy.GenerationCopy;
import org.xnio.XnioIoThread;

/**
 * Runs one request that this router owns, from its first send or from where a copy stands.
 *
 * <p>Runs on the request's I/O thread.
 */
final class RequestRun implements Ownership.Outcomes {
    private final ServingContext context;
    private final RunningRequest request;
    private final WorkClass workClass;
    private final Model model;
    private final XnioIoThread thread;
    private final Ownership ownership;
    private final Runnable onJoin;
    private final GenerationSpec generation;
    private final Optional<TakenOver> taken;
    private Optional<GenerationRunner> runner = Optional.empty();

    private RequestRun(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            Optional<TakenOver> taken,
            Runnable onJoin) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.workClass = service.workClass();
        this.model = service.model();
        this.thread = checkNotNull(thread, "thread");
        this.taken = taken;
        this.onJoin = checkNotNull(onJoin, "onJoin");
        generation =
                taken.map(t -> t.copy().generation())
                        .orElseGet(() -> GenerationSpec.firstOf(request.spec().id(), model));
        ownership = taken.map(this::ownershipOf).orElseGet(this::newOwnership);
    }

    /**
     * Returns the run of a new request.
     *
     * @param onJoin run when another router turns out to own it
     */
    static RequestRun opening(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            Runnable onJoin) {
        return new RequestRun(context, request, service, thread, Optional.empty(), onJoin);
    }

    /** Returns the run of a request taken over; the copy's tokens must be in its log. */
    static RequestRun takenOver(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            TakenOver taken) {
        return new RequestRun(context, request, service, thread, Optional.of(taken), () -> {});
    }

    /** Starts; call once. */
    void start() {
        new OrphanWatch(context, request, thread).start();
        ownership.start();
    }

    @Override
    public void run() {
        // Not before: the log of a request that joins another router's takes that one's generation.
        request.log().startGeneration(generation.id().number());
        if (taken.isPresent() && taken.get().copy().end().isPresent()) {
            return;
        }
        if (taken.isPresent()) {
            // It was let in where it began: what is under way goes ahead of new work.
            runAdmitted();
            return;
        }
        new NewWork(context, request, thread, ownership, this::runAdmitted).start(workClass, model);
    }

    private void runAdmitted() {
        if (request.spec().idempotent() || isUnderWay()) {
            run(RunPermit.ALWAYS);
        } else {
            new ClaimedRun(context, request, thread, this::run, ownership).start();
        }
    }

    @Override
    public void join() {
        onJoin.run();
    }

    @Override
    public void fenced() {
        runner.ifPresent(GenerationRunner::detach);
    }

    private void run(RunPermit permit) {
        if (model.kind() == BackEndKind.SERVICE) {
            ServiceRunner.of(context, request, workClass, model, thread, ownership).start(permit);
            return;
        }
        GenerationRunner started =
                GenerationRunner.of(
                        context, request, workClass, generation, thread, ownership, taken);
        runner = Optional.of(started);
        started.start(permit);
    }

    /** A generation that runs on an engine is only followed: that is no second run. */
    private boolean isUnderWay() {
        return taken.map(t -> t.copy().placement().isPresent()).orElse(false);
    }

    private Ownership newOwnership() {
        return Ownership.opening(
                context, request, thread, workClass.reliability(), generation, this);
    }

    private Ownership ownershipOf(TakenOver from) {
        return Ownership.takenOver(
                context, request, thread, workClass.reliability(), from.copy(), this);
    }

    /** How a request is to be served, as the configuration says. */
    record Service(WorkClass workClass, Model model) {
        Service {
            checkNotNull(workClass, "workClass");
            checkNotNull(model, "model");
        }
    }

    /**
     * A copy to go on from.
     *
     * @param whole whether its tokens are surely all that callers were shown
     */
    record TakenOver(GenerationCopy copy, boolean whole) {
        TakenOver {
            checkNotNull(copy, "copy");
        }
    }
}
