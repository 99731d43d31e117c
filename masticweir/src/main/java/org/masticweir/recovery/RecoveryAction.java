package org.masticweir.recovery;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Set;
import org.masticweir.error.MasticweirException;
import org.masticweir.id.AttemptId;
import org.masticweir.id.EngineId;

/** What the adapter of one request is to do next, in the order given. */
public sealed interface RecoveryAction {
    /**
     * Choose an engine and answer with {@code EngineChosen} or {@code NoEngine}.
     *
     * @param recovering whether work already done waits for it
     */
    record ChooseEngine(Set<EngineId> excluded, boolean recovering) implements RecoveryAction {
        public ChooseEngine {
            excluded = ImmutableSet.copyOf(excluded);
        }
    }

    /** Send the generation to {@code engine} with the first {@code prefix} accepted tokens. */
    record Send(AttemptId attempt, EngineId engine, int prefix) implements RecoveryAction {}

    /** Read the stream of the generation again from token {@code from} on the same engine. */
    record Reread(AttemptId attempt, EngineId engine, int from) implements RecoveryAction {}

    /** Ask the engine whether it lives and where the generation stands. */
    record Probe(AttemptId attempt, EngineId engine) implements RecoveryAction {}

    /** Close the attempt's stream and tell the engine to stop, without waiting for it. */
    record Abandon(AttemptId attempt, EngineId engine) implements RecoveryAction {}

    /** Release tokens; the first has index {@code from}. */
    record Release(int from, ImmutableIntArray tokens) implements RecoveryAction {}

    /** Pin a new generation of this number; nothing of the old one may be released any more. */
    record NewGeneration(int number, boolean resetCaller) implements RecoveryAction {}

    /** The answer is whole. */
    record Finish(int tokens) implements RecoveryAction {}

    /** Give the caller the one final error. */
    record Fail(MasticweirException error) implements RecoveryAction {
        public Fail {
            checkNotNull(error, "error");
        }
    }

    /** Feed a {@code Tick} at {@code atMs}; replaces an earlier wake-up. */
    record WakeAt(long atMs) implements RecoveryAction {}
}
