package org.masticweir.relay;

import com.google.common.collect.ImmutableSet;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.EngineReport;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpHeaders;
import org.masticweir.id.PromptId;

/** The header fields of one platform's requests and answers; stateless and thread-safe. */
public interface PlatformProtocol {
    /**
     * Reads a caller's request.
     *
     * @throws IllegalArgumentException if a field is malformed
     */
    RequestMetadata parseRequestMetadata(HttpHeaders headers);

    /** Returns the fields of a request on its way to a server. */
    HttpHeaders headersToServer(HttpHeaders fromCaller, SendMetadata send);

    /** Reads a server's answer. */
    AnswerMetadata parseAnswerMetadata(HttpHead head);

    /** Returns the fields of an answer on its way to the caller. */
    HttpHeaders headersToCaller(HttpHeaders fromServer);

    /**
     * Returns a call that a living engine answers at once, whatever its load, and that another life
     * at its address does not answer with success.
     */
    HttpCall engineProbeCall(BackendServer engine);

    /**
     * Returns a call to a plain server's {@code path} that no other life at its address accepts.
     */
    HttpCall healthProbeCall(BackendServer server, String path);

    /** Returns whether an answer comes from another server than the one that was meant. */
    boolean isWrongServerStatus(int status);

    /**
     * Reads the answer to an {@link #engineProbeCall}.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    EngineReport parseEngineReport(String body);

    /** Returns a call that asks an engine which prompts it keeps in its memory. */
    HttpCall promptsCall(BackendServer engine);

    /**
     * Reads the answer to a {@link #promptsCall}.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    ImmutableSet<PromptId> parsePrompts(String body);

    /** Returns the path at which the balancer asks whether this router takes connections. */
    String readyPath();
}
