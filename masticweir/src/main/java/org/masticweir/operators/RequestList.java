package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.id.ModelId;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.serving.RunningRequest;

/** Requests that a router owns; immutable. */
public record RequestList(List<Request> requests) {
    public RequestList {
        requests = ImmutableList.copyOf(requests);
    }

    /**
     * One request.
     *
     * @param engine where its last attempt went; empty before the first
     * @param attempt number of that attempt; 0 before the first
     * @param tokens count of accepted tokens
     * @param ageMs time since it was accepted
     */
    public record Request(
            RequestId id,
            TeamId team,
            @JsonProperty("class") WorkClassId workClass,
            ModelId model,
            String engine,
            int generation,
            int attempt,
            int tokens,
            State state,
            long ageMs) {
        public Request {
            checkNotNull(id, "id");
            checkNotNull(team, "team");
            checkNotNull(workClass, "workClass");
            checkNotNull(model, "model");
            checkNotNull(engine, "engine");
            checkNotNull(state, "state");
        }
    }

    /** How far a request is. */
    public enum State {
        /** No attempt was sent yet. */
        WAITING(false),
        /** An attempt was sent. */
        RUNNING(false),
        /** The whole answer is here. */
        COMPLETED(true),
        /** It had its final error. */
        FAILED(true);

        private final boolean ended;

        State(boolean ended) {
            this.ended = ended;
        }

        /** Tells whether nothing more will happen to the request. */
        public boolean ended() {
            return ended;
        }

        static State of(RunningRequest request) {
            State open = request.placement().attempt() == 0 ? WAITING : RUNNING;
            return request.log()
                    .read(0, 0)
                    .end()
                    .map(end -> end instanceof AnswerEnd.Completed ? COMPLETED : FAILED)
                    .orElse(open);
        }
    }
}
