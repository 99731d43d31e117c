package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticweir.bench.caller.CallRecord;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.caller.CallerClient;

/** A call under way, whose tokens can be waited for; thread-safe. */
final class RunningCall {
    private static final long TOKENS_BOUND_MS = 15_000;
    private static final long ANSWER_BOUND_MS = 30_000;

    private final CallRequest request;
    private final AtomicInteger seen = new AtomicInteger();
    private final ConcurrentNavigableMap<Integer, CompletableFuture<Void>> awaited =
            new ConcurrentSkipListMap<>();
    private CompletableFuture<CallRecord> done;

    private RunningCall(CallRequest request) {
        this.request = checkNotNull(request, "request");
    }

    static RunningCall submit(CallerClient client, InetSocketAddress router, CallRequest request) {
        RunningCall call = new RunningCall(request);
        call.done = client.submit(router, request, call::progress);
        return call;
    }

    /** Submits a request whose key is submitted nowhere else before it is answered. */
    static RunningCall submitFirst(
            CallerClient client, InetSocketAddress router, CallRequest request) {
        RunningCall call = new RunningCall(request);
        call.done = client.submitFirst(router, request, call::progress);
        return call;
    }

    /** Reads the answer again at {@code router}, after the event {@code lastEventId}. */
    static RunningCall readAgain(
            CallerClient client,
            InetSocketAddress router,
            CallRequest request,
            String lastEventId) {
        RunningCall call = new RunningCall(request);
        call.done = client.readAgain(router, request, lastEventId, call::progress);
        return call;
    }

    CallRequest request() {
        return request;
    }

    /** Returns once the caller has {@code count} tokens; fails if the call ends before. */
    RunningCall awaitTokens(int count) {
        CompletableFuture<Void> reached =
                awaited.computeIfAbsent(count, c -> new CompletableFuture<>());
        progress(seen.get());
        String what = count + " tokens of " + request.key();
        Await.get(what, CompletableFuture.anyOf(reached, done), TOKENS_BOUND_MS);
        if (!reached.isDone()) {
            throw new AssertionError(what + ": the call ended before, " + done.join());
        }
        return this;
    }

    /** Returns what the caller saw, once the call has ended. */
    CallRecord record() {
        return Await.get("answer of " + request.key(), done, ANSWER_BOUND_MS);
    }

    boolean ended() {
        return done.isDone();
    }

    private void progress(int count) {
        seen.set(count);
        awaited.headMap(count, true).values().forEach(f -> f.complete(null));
    }
}
