package org.masticweir.bench.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Makes calls as a caller would and records what it sees; thread-safe. */
public final class CallerClient {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final ImmutableMap<String, String> FIRST =
            ImmutableMap.of("Masticweir-Submission", "first");

    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final XnioWorker worker;
    private final Clock clock;

    private CallerClient(XnioWorker worker, Clock clock) {
        this.worker = checkNotNull(worker, "worker");
        this.clock = checkNotNull(clock, "clock");
    }

    public static CallerClient on(XnioWorker worker, Clock clock) {
        return new CallerClient(worker, clock);
    }

    /**
     * Submits a request for the first time and reads its answer.
     *
     * <p>The router takes the caller's word that the key was submitted nowhere else.
     *
     * @param progress told the count of tokens after each part, on an I/O thread
     */
    public CompletableFuture<CallRecord> submitFirst(
            InetSocketAddress router, CallRequest request, IntConsumer progress) {
        return submit(router, request, FIRST, progress);
    }

    /**
     * Submits a request whose key may have been submitted before, and reads its answer.
     *
     * @param progress told the count of tokens after each part, on an I/O thread
     */
    public CompletableFuture<CallRecord> submit(
            InetSocketAddress router, CallRequest request, IntConsumer progress) {
        return submit(router, request, ImmutableMap.of(), progress);
    }

    private CompletableFuture<CallRecord> submit(
            InetSocketAddress router,
            CallRequest request,
            Map<String, String> more,
            IntConsumer progress) {
        Map<String, String> headers =
                ImmutableMap.<String, String>builder()
                        .put("Content-Type", "application/json")
                        .putAll(more)
                        .buildOrThrow();
        HttpCall call =
                new HttpCall(
                        "POST",
                        router,
                        "/v1/requests",
                        headers(request, headers),
                        request.body().getBytes(StandardCharsets.UTF_8));
        return open(call, progress);
    }

    /** Reads the answer of {@code request} again after the event {@code lastEventId}. */
    public CompletableFuture<CallRecord> readAgain(
            InetSocketAddress router,
            CallRequest request,
            String lastEventId,
            IntConsumer progress) {
        RequestId id = RequestId.forKey(TeamId.of(request.team()), request.key());
        Map<String, String> more =
                lastEventId.isEmpty()
                        ? ImmutableMap.of()
                        : ImmutableMap.of("Last-Event-ID", lastEventId);
        HttpCall call =
                new HttpCall(
                        "GET", router, "/v1/requests/" + id, headers(request, more), new byte[0]);
        return open(call, progress);
    }

    private static Map<String, String> headers(CallRequest request, Map<String, String> more) {
        return ImmutableMap.<String, String>builder()
                .put("Authorization", "Bearer " + request.credential())
                .put("Masticweir-Team", request.team())
                .putAll(more)
                .buildOrThrow();
    }

    private CompletableFuture<CallRecord> open(HttpCall call, IntConsumer progress) {
        XnioIoThread thread = worker.getIoThread();
        Exchange exchange = new Exchange(clock.nowMs(), progress);
        thread.execute(() -> HttpStream.open(thread, buffers, call, CONNECT_TIMEOUT_MS, exchange));
        return exchange.done;
    }

    /** One call under way; on one I/O thread. */
    private final class Exchange implements HttpStreamListener {
        private final CompletableFuture<CallRecord> done = new CompletableFuture<>();
        private final EventReader reader = new EventReader();
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
        private final long startedAtMs;
        private final IntConsumer progress;
        private int status;

        Exchange(long startedAtMs, IntConsumer progress) {
            this.startedAtMs = startedAtMs;
            this.progress = progress;
        }

        @Override
        public void head(HttpHead head) {
            status = head.status();
        }

        @Override
        public void bytes(ByteBuffer part) throws IOException {
            if (status != 200) {
                while (part.hasRemaining()) {
                    errorBody.write(part.get());
                }
                return;
            }
            reader.bytes(part, clock.nowMs());
            progress.accept(reader.count());
        }

        @Override
        public void end() {
            try {
                if (status != 200) {
                    reader.errorBody(errorBody.toString(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                // Recorded as a broken answer, which it is.
                status = 0;
            }
            complete();
        }

        @Override
        public void lost(boolean sent) {
            complete();
        }

        private void complete() {
            done.complete(reader.record(status, startedAtMs, clock.nowMs()));
        }
    }
}
