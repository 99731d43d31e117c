package org.masticweir.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;

/** Ends answers that are read slowly. */
final class Streams {
    private Streams() {}

    /** Leaves the rest of an answer unread and closes its connection. */
    static void closeQuietly(HttpResponse<InputStream> answer) {
        try {
            answer.body().close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
