package org.masticweir.relay;

import com.google.common.collect.ImmutableSet;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.EngineReport;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpHead;
import org.masticweir.http.HttpHeaders;
import org.masticweir.id.PromptId;

/**
 * The HTTP protocol of one platform: header fields, paths and bodies; stateless and thread-safe.
 */
public interface PlatformProtocol {
    /**
     * Parses the header fields of a caller's request.
     *
     * @throws IllegalArgumentException if a field is malformed
     */
    RequestMetadata parseRequestMetadata(HttpHeaders headers);

    /** Returns the header fields of a request to a server. */
    HttpHeaders headersToServer(HttpHeaders fromCaller, SendMetadata send);

    /** Parses the status and the header fields of a server's answer. */
    AnswerMetadata parseAnswerMetadata(HttpHead head);

    /** Returns the header fields of an answer to a caller. */
    HttpHeaders headersToCaller(HttpHeaders fromServer);

    /**
     * Returns a call that an engine that is alive answers at once under any load. Another
     * incarnation at the same address does not answer it with success.
     */
    HttpCall engineProbeCall(BackendServer engine);

    /**
     * Returns a call to {@code path} of a server that is no engine. Another incarnation at the same
     * address does not accept it.
     */
    HttpCall healthProbeCall(BackendServer server, String path);

    /**
     * Returns whether a status shows that the answer came from a server other than the intended
     * one.
     */
    boolean isWrongServerStatus(int status);

    /**
     * Returns whether callers take a status as the promise that the request has not run and never
     * will.
     */
    boolean promisesNotRun(int status);

    /**
     * Parses the answer to an {@link #engineProbeCall}.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    EngineReport parseEngineReport(String body);

    /** Returns a call for the prompts that an engine has in its cache. */
    HttpCall promptsCall(BackendServer engine);

    /**
     * Parses the answer to a {@link #promptsCall}.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    ImmutableSet<PromptId> parsePrompts(String body);

    /**
     * Returns the path of the balancer's readiness check, which succeeds while this router accepts
     * connections.
     */
    String readyPath();
}
