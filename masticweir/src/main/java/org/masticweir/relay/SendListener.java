package org.masticweir.relay;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.http.HttpHead;
import org.masticweir.id.RouterId;
import org.masticweir.path.ConnectFailure;

/** Receives the events of one send to a server; an event marked "End" is the last one. */
interface SendListener {
    /** The headers of the answer arrived from the intended server. */
    void onHead(AnswerMetadata metadata);

    /** A complete event of a stream arrived. */
    void onEvent(HttpHead head, ByteBuffer bytes, OptionalLong id);

    /** All events that arrived together were reported, and can be written together. */
    void onEventsEnd();

    /** The body ended with its connection; whether it is complete is being determined. */
    void onBodyEnd();

    /** End: the stream is complete. */
    void onStreamEnd(HttpHead head);

    /** End: the complete answer arrived. */
    void onAnswer(HttpHead head, AnswerMetadata metadata, byte[] body);

    /** End: the server reports that it did not run the request. */
    void onRefusal(HttpHead head, AnswerMetadata metadata);

    /** The connection goes through a tunnel that {@code carrier} carries. */
    void onTunnel(RouterId carrier);

    /** End: the request was not sent. */
    void onNotSent(ConnectFailure failure);

    /** End: the request was sent, and no usable answer will arrive. */
    void onLost(String reason);
}
