package org.masticweir.operators;

import static java.util.concurrent.CompletableFuture.completedFuture;

import com.fasterxml.jackson.databind.util.RawValue;
import com.google.common.collect.ImmutableList;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;

/** The calls that operators can make, each with the way it is answered. */
enum OperatorCall {
    STATUS(Methods.GET, "/v1/status") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return completedFuture(sources.queries().status());
        }
    },
    ENGINES(Methods.GET, "/v1/engines") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return completedFuture(sources.queries().engines());
        }
    },
    REQUESTS(Methods.GET, "/v1/requests") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return completedFuture(sources.queries().requests());
        }
    },
    CONFIG(Methods.GET, "/v1/config") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return sources.queries().config().thenApply(a -> a);
        }
    },
    CONFIG_HISTORY(Methods.GET, "/v1/config/history") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return sources.queries().configHistory().thenApply(a -> a);
        }
    },
    PROPOSE(Methods.POST, "/v1/config") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return sources.commands().propose(ProposalBody.parse(body)).thenApply(a -> a);
        }
    },
    DRAIN(Methods.POST, "/v1/drain") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            sources.commands().drain();
            return completedFuture(new DrainAnswer(RouterState.DRAINING));
        }

        @Override
        int status() {
            return StatusCodes.ACCEPTED;
        }
    },
    METRICS(Methods.GET, "/metrics") {
        @Override
        CompletableFuture<Object> answer(OperatorSources sources, byte[] body) {
            return completedFuture(new RawValue(sources.metrics().json()));
        }
    };

    private final HttpString method;
    private final String path;

    OperatorCall(HttpString method, String path) {
        this.method = method;
        this.path = path;
    }

    /** Returns the calls at {@code path}, one for each method; empty for an unknown path. */
    static ImmutableList<OperatorCall> at(String path) {
        return Arrays.stream(values())
                .filter(c -> c.path.equals(path))
                .collect(ImmutableList.toImmutableList());
    }

    HttpString method() {
        return method;
    }

    /** Returns the HTTP status of an answer without error. */
    int status() {
        return StatusCodes.OK;
    }

    /**
     * Answers the call with a value to be written as JSON.
     *
     * @param body the whole body; empty when none was sent
     */
    abstract CompletableFuture<Object> answer(OperatorSources sources, byte[] body);

    /** The answer to a drain. */
    record DrainAnswer(RouterState state) {}
}
