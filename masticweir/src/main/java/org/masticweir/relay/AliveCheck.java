package org.masticweir.relay;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.masticweir.catalog.BackendServer;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpStream;
import org.masticweir.http.HttpStreamListener;
import org.masticweir.id.EngineId;

/**
 * Asks an engine that has not begun a request in time whether it lives; on the traffic thread.
 *
 * <p>Failure guarded against: an engine goes dark while it reads a prompt. It is silent then in any
 * case, so silence says nothing, and waiting for the longest reading time would cost the goal. A
 * living engine answers this call at once, however busy it is.
 */
final class AliveCheck implements HttpStreamListener {
    /** Time for the answer, in ms: a way there and back and a busy engine's turn. */
    private static final long ANSWER_MS = 300;

    private final Consumer<Boolean> then;
    private Optional<HttpStream> http = Optional.empty();
    private boolean over;

    private AliveCheck(Consumer<Boolean> then) {
        this.then = then;
    }

    /** Tells {@code then}, once, whether {@code engine} is listed and answers. */
    static void ask(
            RelayContext context,
            List<BackendServer> servers,
            EngineId engine,
            Consumer<Boolean> then) {
        Optional<BackendServer> listed =
                servers.stream().filter(s -> s.id().equals(engine)).findAny();
        if (listed.isEmpty()) {
            then.accept(false);
            return;
        }
        AliveCheck check = new AliveCheck(then);
        context.thread().executeAfter(() -> check.end(false), ANSWER_MS, TimeUnit.MILLISECONDS);
        check.http =
                Optional.of(
                        HttpStream.open(
                                context.thread(),
                                context.buffers(),
                                context.dialect().aliveCheck(listed.get().address()),
                                ANSWER_MS,
                                check));
    }

    @Override
    public void head(HttpHead head) {
        end(head.isSuccess());
    }

    @Override
    public void bytes(ByteBuffer part) {
        part.position(part.limit());
    }

    @Override
    public void end() {
        end(false);
    }

    @Override
    public void lost(boolean sent) {
        end(false);
    }

    private void end(boolean alive) {
        if (over) {
            return;
        }
        over = true;
        http.ifPresent(HttpStream::close);
        then.accept(alive);
    }
}
