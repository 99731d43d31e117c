package org.masticweir.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticweir.generation.Frame;
import org.masticweir.id.AttemptId;
import org.masticweir.id.GenerationId;
import org.masticweir.id.RequestId;
import org.masticweir.testing.EndlessServer;
import org.masticweir.testing.EndlessServer.Endless;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Guards against engines whose answers do not end: a stream of one was read as long as it came. */
class EndlessEngineTest {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final long END_MS = 20_000;

    /** Longest line that is read, and what the sockets between two processes hold. */
    private static final long MOST_BYTES = (1 << 20) + (16 << 20);

    private static final int TOGETHER = 100;

    private final EngineClient client =
            EngineClient.of(new DefaultByteBufferPool(true, BUFFER_BYTES), CONNECT_TIMEOUT_MS);
    private XnioWorker worker;

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    @AfterEach
    void tearDown() {
        worker.shutdownNow();
    }

    /** How a stream ended. */
    private enum End {
        REFUSED,
        UNKNOWN,
        LOST
    }

    private CompletableFuture<End> read(EndlessServer server) {
        AttemptId attempt = AttemptId.of(GenerationId.of(RequestId.of("r1"), 1), 1);
        XnioIoThread thread = worker.getIoThread();
        CompletableFuture<End> end = new CompletableFuture<>();
        thread.execute(() -> client.reread(thread, server.address(), attempt, 0, completing(end)));
        return end;
    }

    private static StreamListener completing(CompletableFuture<End> end) {
        return new StreamListener() {
            @Override
            public void frame(Frame frame) {
                end.completeExceptionally(new AssertionError("a frame came: " + frame));
            }

            @Override
            public void refused(long retryAfterMs) {
                end.complete(End.REFUSED);
            }

            @Override
            public void unknown() {
                end.complete(End.UNKNOWN);
            }

            @Override
            public void lost(boolean sent) {
                end.complete(End.LOST);
            }
        };
    }

    private void assertEachIsLost(Endless kind, int count) throws Exception {
        try (EndlessServer server = new EndlessServer(kind)) {
            List<CompletableFuture<End>> ends = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                ends.add(read(server));
            }
            for (CompletableFuture<End> end : ends) {
                assertEquals(End.LOST, end.get(END_MS, TimeUnit.MILLISECONDS));
            }
            server.close();
            assertTrue(server.mostBytes() <= MOST_BYTES, server.mostBytes() + " bytes taken");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Endless.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"EMPTY_LINES", "BODY_OF_A_REFUSAL"})
    void streamIsLost(Endless kind) throws Exception {
        assertEachIsLost(kind, 1);
    }

    /** Failure: empty lines count as nothing, so a stream of them never ends. */
    @Test
    void streamOfEmptyLinesIsLost() throws Exception {
        assertEachIsLost(Endless.EMPTY_LINES, 1);
    }

    /** Failure: what follows the part of an error answer that is kept is read without a limit. */
    @Test
    void endlessErrorAnswerIsLost() throws Exception {
        assertEachIsLost(Endless.BODY_OF_A_REFUSAL, 1);
    }

    /** Failure: each of many long lines keeps what one may, and the memory ends. */
    @Test
    void manyEndlessLinesAreLost() throws Exception {
        assertEachIsLost(Endless.BODY, TOGETHER);
    }
}
