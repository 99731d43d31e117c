package org.masticweir.path;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.AnswerBuffer;
import org.masticweir.http.AnswerPool;
import org.masticweir.http.HttpAnswer;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpOutcome;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;

/**
 * Calls servers for their state; runs on the traffic thread.
 *
 * <p>A call without an answer would show a broken path as a failed server. A call that is not
 * answered soon is therefore repeated through another router, and the first answer is used.
 */
public final class ServerCaller {
    /** Time after which a call is repeated through another router, in ms. */
    private static final long REPEAT_DELAY_MS = 80;

    /** Limit on the size of an answer. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    /** Memory that the long answers to repeated calls share. */
    private static final long ANSWER_POOL_BYTES = 4 << 20;

    private final HttpCaller httpCaller;
    private final ServerDialer dialer;
    private final AnswerPool answers = AnswerPool.of(ANSWER_POOL_BYTES);

    public ServerCaller(HttpCaller httpCaller, ServerDialer dialer) {
        this.httpCaller = checkNotNull(httpCaller, "httpCaller");
        this.dialer = checkNotNull(dialer, "dialer");
    }

    /** Makes {@code call} to {@code server}; the future completes within {@code timeoutMs}. */
    public CompletableFuture<HttpOutcome> call(
            BackendServer server, HttpCall call, long timeoutMs) {
        if (dialer.usesPeer(server)) {
            return new TunnelledCall(server, call).start(timeoutMs);
        }
        Race race = new Race(server, call, timeoutMs);
        race.start();
        return race.result;
    }

    /** A direct call and its repetition through another router. */
    private final class Race {
        private final BackendServer server;
        private final HttpCall call;
        private final long timeoutMs;
        private final long startedMs = dialer.now();
        private final CompletableFuture<HttpOutcome> result = new CompletableFuture<>();
        private Optional<HttpOutcome> directOutcome = Optional.empty();
        private Optional<HttpOutcome> repeatedOutcome = Optional.empty();
        private boolean isRepeated;

        Race(BackendServer server, HttpCall call, long timeoutMs) {
            this.server = server;
            this.call = call;
            this.timeoutMs = timeoutMs;
        }

        void start() {
            httpCaller
                    .call(call, timeoutMs)
                    .thenAccept(o -> dialer.thread().execute(() -> onDirectOutcome(o)));
            dialer.thread().executeAfter(this::repeat, REPEAT_DELAY_MS, TimeUnit.MILLISECONDS);
        }

        private void onDirectOutcome(HttpOutcome outcome) {
            directOutcome = Optional.of(outcome);
            if (outcome instanceof HttpOutcome.Answered
                    || outcome.isWithheld()
                    || outcome.showsAnsweringPeer()) {
                result.complete(outcome);
            } else if (repeatedOutcome.isPresent()) {
                completeUnanswered();
            } else {
                repeat();
            }
        }

        private void repeat() {
            long leftMs = startedMs + timeoutMs - dialer.now();
            if (isRepeated || result.isDone()) {
                return;
            }
            if (leftMs <= 0) {
                directOutcome.ifPresent(result::complete);
                return;
            }
            isRepeated = true;
            new TunnelledCall(server, call).start(leftMs).thenAccept(this::onRepeatedOutcome);
        }

        private void onRepeatedOutcome(HttpOutcome outcome) {
            repeatedOutcome = Optional.of(outcome);
            if (outcome instanceof HttpOutcome.Answered || outcome.showsAnsweringPeer()) {
                result.complete(outcome);
            } else if (directOutcome.isPresent()) {
                completeUnanswered();
            }
        }

        /** A repetition that was withheld does not confirm that the server is unreachable. */
        private void completeUnanswered() {
            HttpOutcome repeated = repeatedOutcome.orElseThrow();
            result.complete(repeated.isWithheld() ? repeated : directOutcome.orElseThrow());
        }
    }

    /** One call on a connection that {@link ServerDialer} opens. */
    private final class TunnelledCall implements HttpStreamListener {
        private final BackendServer server;
        private final HttpCall call;
        private final CompletableFuture<HttpOutcome> result = new CompletableFuture<>();
        private final AnswerBuffer body = new AnswerBuffer(MAX_ANSWER_BYTES, answers);
        private ConnectAttempt attempt;
        private Optional<HttpStream> stream = Optional.empty();
        private HttpHead head;

        TunnelledCall(BackendServer server, HttpCall call) {
            this.server = server;
            this.call = call;
        }

        CompletableFuture<HttpOutcome> start(long timeoutMs) {
            dialer.thread().executeAfter(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
            attempt = dialer.newAttempt(server, timeoutMs);
            HttpStream opened =
                    HttpStream.open(
                            dialer.thread(),
                            dialer.buffers(),
                            server.address(),
                            attempt,
                            () -> Optional.of(call),
                            timeoutMs + 1,
                            this);
            stream = Optional.of(opened);
            return result;
        }

        private void onTimeout() {
            if (!result.isDone()) {
                attempt.close();
                stream.ifPresent(HttpStream::close);
                body.close();
                boolean isAnswering = stream.filter(HttpStream::hasAnswerBytes).isPresent();
                result.complete(
                        new HttpOutcome.MayHaveBeenSent("no whole answer in time", isAnswering));
            }
        }

        @Override
        public void head(HttpHead received) {
            head = received;
        }

        @Override
        public void bytes(ByteBuffer part) throws IOException {
            body.append(part);
        }

        @Override
        public void end() {
            HttpAnswer answer = HttpAnswer.of(head, body.toByteArray());
            body.close();
            result.complete(new HttpOutcome.Answered(answer));
        }

        @Override
        public void lost(boolean sent) {
            body.close();
            boolean isAnswering = stream.filter(HttpStream::isAnswerCut).isPresent();
            result.complete(
                    sent
                            ? new HttpOutcome.MayHaveBeenSent("the exchange broke", isAnswering)
                            : new HttpOutcome.NeverSent(
                                    "not reached", !attempt.failure().isLikelyOfServer()));
        }
    }
}
