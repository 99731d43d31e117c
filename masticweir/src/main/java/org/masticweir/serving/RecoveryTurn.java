package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.Executor;
import org.masticweir.id.GenerationId;
import org.masticweir.limits.RecoveryDecision;
import org.masticweir.limits.RecoveryRequest;

/** One request's turns at the recovery gate; owned by the request's thread. */
final class RecoveryTurn {
    /** How often a recovery that waits looks whether any engine is left for it, in ms. */
    static final long LOOK_AGAIN_MS = 250;

    private enum State {
        NONE,
        WAITING,
        GRANTED,
        STARTED
    }

    private final RecoveryGate gate;
    private final Executor thread;
    private final Runnable retake;
    private State state = State.NONE;
    private GenerationId generation;
    private boolean offering;

    /**
     * Creates the turns of a request.
     *
     * @param retake has {@link #take} called again; run on {@code thread} when a wait is over
     */
    RecoveryTurn(RecoveryGate gate, Executor thread, Runnable retake) {
        this.gate = checkNotNull(gate, "gate");
        this.thread = checkNotNull(thread, "thread");
        this.retake = checkNotNull(retake, "retake");
    }

    /** Returns whether the recovery may be sent now; if not, a later turn may come. */
    boolean take(RecoveryRequest recovery) {
        if (state == State.NONE || state == State.STARTED) {
            generation = recovery.generation();
            state = State.WAITING;
            offering = true;
            gate.offer(recovery, thread, this::decided);
            offering = false;
        }
        if (state != State.GRANTED) {
            return false;
        }
        state = State.STARTED;
        return true;
    }

    /** Takes note that tokens flow again. */
    void resumed() {
        if (state == State.STARTED) {
            gate.resumed(generation);
            state = State.NONE;
        }
    }

    /** Takes note that the generation has ended in whatever way. */
    void ended() {
        if (state != State.NONE) {
            gate.ended(generation);
            state = State.NONE;
        }
    }

    private void decided(RecoveryDecision decision) {
        if (state != State.WAITING || !decision.generation().equals(generation)) {
            return;
        }
        // One given up is offered again until its request finds its own end.
        state = decision instanceof RecoveryDecision.Start ? State.GRANTED : State.NONE;
        if (!offering) {
            retake.run();
        }
    }
}
