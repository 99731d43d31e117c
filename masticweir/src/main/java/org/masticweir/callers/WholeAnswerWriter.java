package org.masticweir.callers;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticweir.error.Verdict;
import org.masticweir.generation.AnswerEnd;
import org.masticweir.generation.AnswerLog;
import org.xnio.XnioIoThread;

/** Answers with one JSON object once the answer is whole; runs on the connection's I/O thread. */
final class WholeAnswerWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServerExchange exchange;
    private final XnioIoThread thread;
    private final AnswerLog log;
    private final KeyVerdict told;
    private final String requestId;
    private final Runnable wake = this::wake;
    private final AtomicBoolean gone = new AtomicBoolean();

    WholeAnswerWriter(
            HttpServerExchange exchange, AnswerLog log, KeyVerdict told, String requestId) {
        this.exchange = checkNotNull(exchange, "exchange");
        this.log = checkNotNull(log, "log");
        this.told = checkNotNull(told, "told");
        this.requestId = checkNotNull(requestId, "requestId");
        thread = exchange.getIoThread();
    }

    /** Waits for the end of the answer; call on the connection's I/O thread. */
    void start() {
        exchange.getConnection().addCloseListener(c -> leave());
        log.listen(wake);
        sendIfEnded();
    }

    private void wake() {
        if (log.ended()) {
            thread.execute(this::sendIfEnded);
        }
    }

    private void sendIfEnded() {
        AnswerLog.View view = log.read(0, Integer.MAX_VALUE);
        if (view.end().isEmpty() || gone.get()) {
            return;
        }
        leave();
        exchange.getResponseHeaders().put(EventStreamWriter.REQUEST, requestId);
        AnswerEnd end = view.end().get();
        if (end instanceof AnswerEnd.Failed failed) {
            ErrorAnswer.send(exchange, told.told(failed.error()));
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        String json = json(view, ((AnswerEnd.Completed) end).result());
        exchange.getResponseSender().send(json, StandardCharsets.UTF_8);
    }

    private String json(AnswerLog.View view, String result) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("request", requestId);
        node.put("verdict", Verdict.COMPLETED.name());
        if (view.tokens().isEmpty()) {
            return node.put("result", result).toString();
        }
        node.put("generation", view.generation());
        ArrayNode tokens = node.putArray("tokens");
        view.tokens().forEach(tokens::add);
        return node.toString();
    }

    private void leave() {
        if (gone.compareAndSet(false, true)) {
            log.unlisten(wake);
        }
    }
}
