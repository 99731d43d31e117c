package org.masticweir.serving;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import org.masticweir.engine.EngineClient;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.id.AttemptId;

/** Tells an engine to stop an attempt that nobody waits for any more. */
final class EngineCancel {
    private static final long TIMEOUT_MS = 2_000;

    private EngineCancel() {}

    /** Sends the cancel once; an engine that misses it stops when its stream has no reader. */
    static void send(HttpCaller calls, InetSocketAddress address, AttemptId attempt) {
        String path = EngineClient.pathOf(attempt.generation()) + "?attempt=" + attempt.number();
        HttpCall cancel = new HttpCall("DELETE", address, path, ImmutableMap.of(), new byte[0]);
        calls.call(cancel, TIMEOUT_MS);
    }
}
