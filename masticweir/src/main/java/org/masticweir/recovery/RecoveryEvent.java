package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;

/** What happened to one request, as its adapter saw it. */
public sealed interface RecoveryEvent {
    /** The router chose {@code engine} for the next attempt. */
    record EngineChosen(EngineId engine) implements RecoveryEvent {
        public EngineChosen {
            checkNotNull(engine, "engine");
        }
    }

    /**
     * No engine can take the generation now.
     *
     * @param versionGone whether no engine serves the generation's pinned version any more
     */
    record NoEngine(boolean versionGone, long retryAfterMs) implements RecoveryEvent {}

    /** The engine refused the attempt before admission: it did not run there. */
    record Refused(AttemptId attempt, long retryAfterMs) implements RecoveryEvent {
        public Refused {
            checkNotNull(attempt, "attempt");
        }
    }

    /** The engine answers and does not know the generation that was to be read again. */
    record Unknown(AttemptId attempt) implements RecoveryEvent {
        public Unknown {
            checkNotNull(attempt, "attempt");
        }
    }

    /** A frame came on the stream that was opened for {@code stream}. */
    record Received(AttemptId stream, Frame frame) implements RecoveryEvent {
        public Received {
            checkNotNull(stream, "stream");
            checkNotNull(frame, "frame");
        }
    }

    /**
     * The stream broke or could not be opened.
     *
     * @param sent whether the engine may have got the attempt
     */
    record LinkLost(AttemptId attempt, boolean sent) implements RecoveryEvent {
        public LinkLost {
            checkNotNull(attempt, "attempt");
        }
    }

    /** How a probe of an attempt's engine ended. */
    sealed interface Probed extends RecoveryEvent {
        AttemptId attempt();
    }

    /** The engine answered a probe: its generation stands at token {@code next}. */
    record ProbeAnswered(AttemptId attempt, int next) implements Probed {
        public ProbeAnswered {
            checkNotNull(attempt, "attempt");
        }
    }

    /** The engine did not answer a probe in time. */
    record ProbeFailed(AttemptId attempt) implements Probed {
        public ProbeFailed {
            checkNotNull(attempt, "attempt");
        }
    }

    /** The engine answered a probe and does not know the generation, or not yet. */
    record ProbeUnknown(AttemptId attempt) implements Probed {
        public ProbeUnknown {
            checkNotNull(attempt, "attempt");
        }
    }

    /** This router sent no probe, as too many were out; that says nothing of the engine. */
    record ProbeWithheld(AttemptId attempt) implements Probed {
        public ProbeWithheld {
            checkNotNull(attempt, "attempt");
        }
    }

    /** Nobody wants the answer any more. */
    record Cancelled() implements RecoveryEvent {}

    /** Another router goes on with the generation; nothing more is to be done here. */
    record Detached() implements RecoveryEvent {}

    /** Time passed. */
    record Tick() implements RecoveryEvent {}
}
