package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.http.HttpHead;
import org.masticweir.id.RouterId;
import org.masticweir.path.ConnectFailure;

/** Calls another listener under the guard of its request; runs on the traffic thread. */
final class GuardedSendListener implements SendListener {
    private final RequestGuard guard;
    private final SendListener listener;

    GuardedSendListener(RequestGuard guard, SendListener listener) {
        this.guard = checkNotNull(guard, "guard");
        this.listener = checkNotNull(listener, "listener");
    }

    @Override
    public void onTunnel(RouterId carrier) {
        guard.run(() -> listener.onTunnel(carrier));
    }

    @Override
    public void onHead(AnswerMetadata metadata) {
        guard.run(() -> listener.onHead(metadata));
    }

    @Override
    public void onEvent(HttpHead head, ByteBuffer bytes, OptionalLong id) {
        guard.run(() -> listener.onEvent(head, bytes, id));
    }

    @Override
    public void onEventsEnd() {
        guard.run(listener::onEventsEnd);
    }

    @Override
    public void onBodyEnd() {
        guard.run(listener::onBodyEnd);
    }

    @Override
    public void onStreamEnd(HttpHead head) {
        guard.run(() -> listener.onStreamEnd(head));
    }

    @Override
    public void onAnswer(HttpHead head, AnswerMetadata metadata, byte[] bytes) {
        guard.run(() -> listener.onAnswer(head, metadata, bytes));
    }

    @Override
    public void onRefusal(HttpHead head, AnswerMetadata metadata) {
        guard.run(() -> listener.onRefusal(head, metadata));
    }

    @Override
    public void onNotSent(ConnectFailure failure) {
        guard.run(() -> listener.onNotSent(failure));
    }

    @Override
    public void onLost(String reason) {
        guard.run(() -> listener.onLost(reason));
    }
}
