package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.masticweir.error.ErrorCode;

/** The answer to a {@link RouteQuery}: an engine, or why there is none; immutable. */
public sealed interface RouteChoice {
    /** Returns the engine chosen, if any. */
    Optional<EngineView> engine();

    /**
     * An engine to send to.
     *
     * @param expectedMs expected time from the send to the next token, in ms
     * @param prefillMs the part of it that the engine computes on the attempt's own prompt, in ms
     */
    record Chosen(EngineView view, double expectedMs, double prefillMs) implements RouteChoice {
        public Chosen {
            checkNotNull(view, "view");
        }

        @Override
        public Optional<EngineView> engine() {
            return Optional.of(view);
        }
    }

    /** No engine may take the attempt now. */
    record None(Reason reason) implements RouteChoice {
        public None {
            checkNotNull(reason, "reason");
        }

        @Override
        public Optional<EngineView> engine() {
            return Optional.empty();
        }
    }

    /** Why no engine was chosen. */
    enum Reason {
        /** No engine is known to serve the model in any version. */
        UNKNOWN_MODEL(ErrorCode.NO_ENGINE),
        /** Engines serve the model, none the version asked for. */
        VERSION_NOT_LOADED(ErrorCode.NO_ENGINE),
        /** Engines serve the version, all of them leave, are suspect, ejected or cut off. */
        NONE_AVAILABLE(ErrorCode.NO_ENGINE),
        /** Every engine that could take the attempt is excluded by the query. */
        ALL_EXCLUDED(ErrorCode.NO_ENGINE);

        private final ErrorCode code;

        Reason(ErrorCode code) {
            this.code = code;
        }

        public ErrorCode code() {
            return code;
        }
    }
}
