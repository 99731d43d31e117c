package org.masticweir.routing;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Ways to choose an engine; all but the first are baselines for trials. */
public enum ChooserKind {
    /** By expected time to the next token, among a few engines. */
    EXPECTED_DELAY {
        @Override
        public EngineChooser create(InFlight inFlight, Supplier<? extends RandomGenerator> random) {
            return ExpectedDelayChooser.create(inFlight, random);
        }
    },
    /** One engine after the other. */
    ROUND_ROBIN {
        @Override
        public EngineChooser create(InFlight inFlight, Supplier<? extends RandomGenerator> random) {
            return RoundRobinChooser.create();
        }
    },
    /** The engine with the least reported load. */
    LEAST_REPORTED {
        @Override
        public EngineChooser create(InFlight inFlight, Supplier<? extends RandomGenerator> random) {
            return LeastReportedChooser.create();
        }
    };

    /** Returns a chooser of this kind that has chosen nothing yet. */
    public abstract EngineChooser create(
            InFlight inFlight, Supplier<? extends RandomGenerator> random);
}
