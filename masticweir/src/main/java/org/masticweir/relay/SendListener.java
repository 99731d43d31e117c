package org.masticweir.relay;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.http.HttpHead;

/** Receives the events of one send to a server; the last call is one of the end events. */
interface SendListener {
    /** The head of an answer to this request arrived from the intended server. */
    void onHead(AnswerMetadata metadata);

    /** A complete event of a stream arrived. */
    void onEvent(HttpHead head, ByteBuffer bytes, OptionalLong id);

    /** End: the stream is complete. */
    void onStreamEnd(HttpHead head);

    /** End: the complete answer arrived. */
    void onAnswer(HttpHead head, AnswerMetadata metadata, byte[] body);

    /** End: the server reports that it did not run the request. */
    void onRefusal(HttpHead head, AnswerMetadata metadata);

    /** End: the request has not left this process. */
    void onNotSent();

    /** End: the request was sent, and no usable answer will arrive. */
    void onLost(String reason);
}
