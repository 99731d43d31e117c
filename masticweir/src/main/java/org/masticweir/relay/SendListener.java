package org.masticweir.relay;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.http.HttpHead;

/** Hears how one send to a server goes; the last call is one of the ends. */
interface SendListener {
    /** The head of an answer to this request came, from the server that was meant. */
    void onHead(AnswerMetadata metadata);

    /** An event of a series came whole. */
    void onEvent(HttpHead head, ByteBuffer bytes, OptionalLong id);

    /** End: the series of events is complete. */
    void onStreamEnd(HttpHead head);

    /** End: a whole answer. */
    void onAnswer(HttpHead head, AnswerMetadata metadata, byte[] body);

    /** End: the server says that it did not run the request. */
    void onRefusal(HttpHead head, AnswerMetadata metadata);

    /** End: nothing has left this process. */
    void onNotSent();

    /** End: the request was sent, and no answer that can be used will come. */
    void onLost(String reason);
}
