package org.masticweir.bench.report;

import java.util.List;
import java.util.function.ToLongFunction;

/** A figure by which runs are compared. */
public enum Metric {
    /** Half of the affected generations waited at most this long. */
    RESUME_P50_MS {
        @Override
        double of(RunResult run) {
            return run.resume().p50Ms();
        }

        @Override
        boolean appliesTo(RunResult run) {
            return run.resume().count() > 0;
        }
    },
    /** 99 in 100 affected generations waited at most this long. */
    RESUME_P99_MS {
        @Override
        double of(RunResult run) {
            return run.resume().p99Ms();
        }

        @Override
        boolean appliesTo(RunResult run) {
            return run.resume().count() > 0;
        }
    },
    /** Longest wait of an affected generation. */
    RESUME_MAX_MS {
        @Override
        double of(RunResult run) {
            return run.resume().maxMs();
        }

        @Override
        boolean appliesTo(RunResult run) {
            return run.resume().count() > 0;
        }
    },
    /** Affected generations that never went on. */
    UNRESUMED {
        @Override
        double of(RunResult run) {
            return run.faults().stream().mapToLong(FaultResult::unresumed).sum();
        }
    },
    /** Extra decode tokens for each useful one. */
    EXTRA_DECODE_SHARE {
        @Override
        double of(RunResult run) {
            return run.extra().decodeShare();
        }
    },
    /** Bound on extra prefill tokens for each useful one. */
    EXTRA_PREFILL_SHARE {
        @Override
        double of(RunResult run) {
            return run.extra().prefillShare();
        }
    },
    /** Moves off an engine that was alive. */
    FALSE_MOVES {
        @Override
        double of(RunResult run) {
            return run.falseMoves();
        }
    },
    /** Share of all calls that met their class's target. */
    GOODPUT_SHARE {
        @Override
        double of(RunResult run) {
            long sent = sum(run.load().classes(), ClassResult::sent);
            return sent == 0
                    ? 0
                    : (double) sum(run.load().classes(), ClassResult::withinTarget) / sent;
        }
    },
    /** Calls within their class's target for each second of the load. */
    GOODPUT_PER_S {
        @Override
        double of(RunResult run) {
            return sum(run.load().classes(), ClassResult::withinTarget) / run.load().seconds();
        }
    },
    /** Calls that were refused, for the last time where callers came back. */
    REFUSED_CALLS {
        @Override
        double of(RunResult run) {
            return sum(run.load().classes(), ClassResult::refusedCalls);
        }
    },
    /** Sends for each first send, recoveries included. */
    SENDS_PER_FIRST {
        @Override
        double of(RunResult run) {
            return run.sends().perFirst();
        }
    },
    /** Sends from the first token on for each first send. */
    FRESH_SENDS_PER_FIRST {
        @Override
        double of(RunResult run) {
            return run.sends().freshPerFirst();
        }
    },
    /** Times that refused callers came back. */
    RETURNS {
        @Override
        double of(RunResult run) {
            return run.load().returns().returns();
        }
    },
    /** Busiest quarter of a second of the returns as a multiple of the mean one. */
    RETURNS_PEAK {
        @Override
        double of(RunResult run) {
            return run.load().returns().peak();
        }

        @Override
        boolean appliesTo(RunResult run) {
            return run.load().returns().returns() > 0;
        }
    },
    /** Calls whose stream ended without the whole answer. */
    FAILED_CALLS {
        @Override
        double of(RunResult run) {
            return sum(run.load().classes(), ClassResult::failedCalls);
        }
    },
    /** Tokens lost, repeated or mixed. */
    WRONG_TOKENS {
        @Override
        double of(RunResult run) {
            TokenCheck tokens = run.load().tokens();
            return tokens.lost() + tokens.repeated() + tokens.mixed();
        }
    };

    /** Returns this figure of {@code run}. */
    abstract double of(RunResult run);

    /**
     * Tells whether {@code run} has this figure; a wait has none when no fault met a generation.
     */
    boolean appliesTo(RunResult run) {
        return true;
    }

    private static long sum(List<ClassResult> classes, ToLongFunction<ClassResult> part) {
        return classes.stream().mapToLong(part).sum();
    }
}
