package org.masticweir.engine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/** The vendors whose engines a deployment may mix, each with its own way to report state. */
public enum Vendor {
    /** Reports counts: {@code running}, {@code waiting}, {@code max_batch}. */
    COUNTS {
        @Override
        public LoadReport loadOf(JsonNode state) {
            checkNotNull(state, "state");
            int running = state.path("running").asInt();
            int waiting = state.path("waiting").asInt();
            return LoadReport.of(running, waiting, Math.max(1, state.path("max_batch").asInt(1)));
        }
    },
    /** Reports shares: {@code batch_fill} from 0 to 1, {@code queue}, {@code slots}. */
    SHARES {
        @Override
        public LoadReport loadOf(JsonNode state) {
            checkNotNull(state, "state");
            int slots = Math.max(1, state.path("slots").asInt(1));
            int running = (int) Math.round(state.path("batch_fill").asDouble() * slots);
            return LoadReport.of(running, state.path("queue").asInt(), slots);
        }
    };

    /** Returns the load that {@code state}, the vendor's own report, tells. */
    public abstract LoadReport loadOf(JsonNode state);
}
