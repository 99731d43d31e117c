package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Model;
import org.masticweir.config.WorkClass;
import org.masticweir.generation.GenerationSpec;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
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
    private final Joining joining;
    private final boolean asksHome;
    private final GenerationSpec generation;
    private final Optional<TakenOver> taken;
    private Optional<GenerationRunner> runner = Optional.empty();

    private RequestRun(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            Optional<TakenOver> taken,
            boolean keyed,
            Joining joining) {
        this.context = checkNotNull(context, "context");
        this.request = checkNotNull(request, "request");
        this.workClass = service.workClass();
        this.model = service.model();
        this.thread = checkNotNull(thread, "thread");
        this.taken = taken;
        this.joining = checkNotNull(joining, "joining");
        asksHome =
                keyed && request.spec().idempotent() && workClass.reliability().copiesPlacement();
        generation = taken.map(t -> t.copy().generation()).orElseGet(this::firstGeneration);
        ownership = taken.map(this::ownershipOf).orElseGet(this::newOwnership);
    }

    /**
     * Returns the run of a new request.
     *
     * @param keyed whether its caller named an idempotency key, which another router may have too
     */
    static RequestRun opening(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            boolean keyed,
            Joining joining) {
        return new RequestRun(context, request, service, thread, Optional.empty(), keyed, joining);
    }

    /** Returns the run of a request taken over; the copy's tokens must be in its log. */
    static RequestRun takenOver(
            ServingContext context,
            RunningRequest request,
            Service service,
            XnioIoThread thread,
            TakenOver taken) {
        Joining never = owner -> {};
        return new RequestRun(context, request, service, thread, Optional.of(taken), false, never);
    }

    private GenerationSpec firstGeneration() {
        RequestId id = request.spec().id();
        return request.spec().idempotent()
                ? GenerationSpec.firstOf(id, model.pinned())
                : GenerationSpec.claimed(id, model.pinned(), context.clock().wallMs());
    }

    /** Starts; call once. */
    void start() {
        new OrphanWatch(context, request, thread).start();
        ownership.start();
    }

    @Override
    public void run() {
        if (asksHome) {
            new KeyTurn(context, request.spec().id(), thread, this::runOwned, this::leaveTo)
                    .start();
        } else {
            runOwned();
        }
    }

    private void leaveTo(RouterId owner) {
        if (request.log().ended()) {
            return;
        }
        ownership.withdraw();
        joining.joins(Optional.of(owner));
    }

    private void runOwned() {
        if (request.log().ended()) {
            // Taken over from here while the home of its key was asked.
            return;
        }
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
        joining.joins(Optional.empty());
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

    /** Reads a request from the router that owns it. */
    @FunctionalInterface
    interface Joining {
        /**
         * Called at most once, before anything of the request was sent.
         *
         * @param named the owner as the key's home named it; empty when a holder knows of one
         */
        void joins(Optional<RouterId> named);
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
