package org.masticweir.store;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.escape.Escaper;
import com.google.common.net.UrlEscapers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * The platform's services over HTTP.
 *
 * <p>Futures complete on I/O threads and never exceptionally. Thread-safe; owns nothing, so that
 * the caller passed in is closed by whoever made it.
 */
public final class HttpPlatform implements TableService, InstanceList, WeightStore {
    private static final Logger LOG = LogManager.getLogger(HttpPlatform.class);

    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FIRST_CLIENT_ERROR = 400;

    /** A request timeout as told by the server: it may have begun to work on the request. */
    private static final int REQUEST_TIMEOUT = 408;

    private static final Escaper PATH = UrlEscapers.urlPathSegmentEscaper();
    private static final Escaper QUERY = UrlEscapers.urlFormParameterEscaper();

    private final HttpCaller caller;
    private final InetSocketAddress address;

    private HttpPlatform(HttpCaller caller, InetSocketAddress address) {
        this.caller = checkNotNull(caller, "caller");
        this.address = checkNotNull(address, "address");
    }

    public static HttpPlatform at(InetSocketAddress address, HttpCaller caller) {
        return new HttpPlatform(caller, address);
    }

    @Override
    public CompletableFuture<TransactionOutcome> transact(Transaction transaction, long timeoutMs) {
        String body = PlatformJson.write(transaction);
        return caller.call(HttpCall.postJson(address, "/tables/txn", body), timeoutMs)
                .thenApply(HttpPlatform::transactionOutcome);
    }

    @Override
    public CompletableFuture<ReadOutcome<Row>> read(RowKey key, long timeoutMs) {
        checkNotNull(key, "key");
        String path = "/tables/" + PATH.escape(key.table()) + "/" + PATH.escape(key.key());
        return read(path, timeoutMs, answer -> row(key, answer));
    }

    @Override
    public CompletableFuture<ReadOutcome<List<Row>>> list(
            String table, String after, int limit, long timeoutMs) {
        checkArgument(limit >= 1, "limit %s", limit);
        String path = "/tables/" + PATH.escape(table) + "?limit=" + limit;
        String from = after.isEmpty() ? "" : "&after=" + QUERY.escape(after);
        return read(path + from, timeoutMs, a -> PlatformJson.rows(table, success(a)));
    }

    @Override
    public CompletableFuture<ReadOutcome<List<InstanceRecord>>> instances(long timeoutMs) {
        return read("/instances", timeoutMs, a -> PlatformJson.instances(success(a)));
    }

    @Override
    public CompletableFuture<FetchOutcome> fetch(
            ModelId model, String version, EngineId engine, long timeoutMs) {
        String body = PlatformJson.fetch(model, version, engine);
        return caller.call(HttpCall.postJson(address, "/weights/fetch", body), timeoutMs)
                .thenApply(HttpPlatform::fetchOutcome);
    }

    private <T> CompletableFuture<ReadOutcome<T>> read(
            String path, long timeoutMs, Function<HttpAnswer, T> decoder) {
        return caller.call(HttpCall.get(address, path), timeoutMs)
                .thenApply(outcome -> readOutcome(outcome, decoder));
    }

    private static <T> ReadOutcome<T> readOutcome(
            HttpOutcome outcome, Function<HttpAnswer, T> decoder) {
        if (outcome instanceof HttpOutcome.Answered answered) {
            try {
                return new ReadOutcome.Done<>(decoder.apply(answered.answer()));
            } catch (IllegalArgumentException e) {
                LOG.warn("platform: answer not understood, {}", e.getMessage());
                return new ReadOutcome.NotRead<>(String.valueOf(e.getMessage()));
            }
        }
        return new ReadOutcome.NotRead<>(reason(outcome));
    }

    private static TransactionOutcome transactionOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NeverSent never) {
            return TransactionOutcome.NotDone.because(never.reason());
        }
        if (outcome instanceof HttpOutcome.Answered answered) {
            return transactionOutcome(answered.answer());
        }
        return new TransactionOutcome.Unknown(reason(outcome));
    }

    private static TransactionOutcome transactionOutcome(HttpAnswer answer) {
        if (refusedBeforeEffect(answer.status())) {
            return new TransactionOutcome.NotDone("status " + answer.status(), retryAfter(answer));
        }
        try {
            if (answer.status() == CONFLICT) {
                return new TransactionOutcome.Conflicted(
                        PlatformJson.conflicts(PlatformJson.parse(answer.text())));
            }
            if (answer.isSuccess()) {
                JsonNode revision = PlatformJson.parse(answer.text()).path("revision");
                checkArgument(revision.canConvertToLong(), "no revision in a commit's answer");
                return new TransactionOutcome.Committed(revision.asLong());
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("platform: answer not understood, {}", e.getMessage());
        }
        return new TransactionOutcome.Unknown("status " + answer.status());
    }

    private static FetchOutcome fetchOutcome(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NeverSent never) {
            return new FetchOutcome.NotDone(never.reason(), OptionalLong.empty());
        }
        if (outcome instanceof HttpOutcome.Answered answered) {
            HttpAnswer answer = answered.answer();
            if (answer.isSuccess()) {
                return new FetchOutcome.Fetched();
            }
            if (refusedBeforeEffect(answer.status())) {
                return new FetchOutcome.NotDone("status " + answer.status(), retryAfter(answer));
            }
        }
        return new FetchOutcome.Unknown(reason(outcome));
    }

    /**
     * Tells whether a status says that the request had no effect.
     *
     * <p>429 and 503 are sent in place of doing the work, and a client error says the request was
     * not understood. Any other server error may come from a step after the commit (a gateway that
     * lost its answer, say), so it proves nothing.
     */
    private static boolean refusedBeforeEffect(int status) {
        boolean clientError =
                status >= FIRST_CLIENT_ERROR
                        && status < FIRST_SERVER_ERROR
                        && status != CONFLICT
                        && status != REQUEST_TIMEOUT;
        return status == TOO_MANY_REQUESTS || status == UNAVAILABLE || clientError;
    }

    private static Row row(RowKey key, HttpAnswer answer) {
        if (answer.status() == NOT_FOUND) {
            return Row.absent(key);
        }
        Row row = PlatformJson.row(key, success(answer));
        checkArgument(row.isPresent(), "row %s shown without a revision", key);
        return row;
    }

    private static JsonNode success(HttpAnswer answer) {
        checkArgument(answer.isSuccess(), "status %s", answer.status());
        return PlatformJson.parse(answer.text());
    }

    private static OptionalLong retryAfter(HttpAnswer answer) {
        try {
            return PlatformJson.retryAfterMs(PlatformJson.parse(answer.text()));
        } catch (IllegalArgumentException e) {
            // The advice is a courtesy: a refusal without a JSON body is a refusal all the same.
            return OptionalLong.empty();
        }
    }

    private static String reason(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NeverSent never) {
            return never.reason();
        }
        if (outcome instanceof HttpOutcome.MayHaveBeenSent sent) {
            return sent.reason();
        }
        return "status " + ((HttpOutcome.Answered) outcome).answer().status();
    }
}
