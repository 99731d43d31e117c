package org.masticweir.relay;

import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.masticweir.http.HttpHead;

/** Hears how one send to a server goes; the last call is one of the ends. */
interface SendListener {
    /** The head of an answer to this request came, from the server that was meant. */
    void head(AnswerMetadata word);

    /** An event of a series came whole. */
    void event(HttpHead head, ByteBuffer bytes, OptionalLong id);

    /** End: the series of events is complete. */
    void eventsEnded(HttpHead head);

    /** End: a whole answer. */
    void answered(HttpHead head, AnswerMetadata word, byte[] body);

    /** End: the server says that it did not run the request. */
    void refused(HttpHead head, AnswerMetadata word);

    /** End: nothing has left this process. */
    void notSent();

    /** End: the request was sent, and no answer that can be used will come. */
    void lost(String reason);
}
