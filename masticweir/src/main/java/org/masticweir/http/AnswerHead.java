package org.masticweir.http;

import java.util.Optional;
import java.util.OptionalLong;

/** What the lines of one head say about the answer; not thread-safe. */
final class AnswerHead {
    /** Limit on the lines of one head. */
    static final int MAX_LINES = 256;

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int LAST_INTERIM = 199;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private Optional<HttpGrammar.StatusLine> statusLine = Optional.empty();
    private OptionalLong contentLength = OptionalLong.empty();
    private boolean isChunked;
    private int lineCount;

    /** Returns whether no line was added. */
    boolean isEmpty() {
        return statusLine.isEmpty();
    }

    /**
     * Adds the next line and returns whether it ends the head.
     *
     * @throws AnswerLimitException if the head has too many lines
     */
    boolean add(String line) throws MalformedAnswerException, AnswerLimitException {
        if (isEmpty()) {
            statusLine = Optional.of(HttpGrammar.parseStatusLine(line));
            return false;
        }
        if (line.isEmpty()) {
            return true;
        }
        lineCount++;
        if (lineCount >= MAX_LINES) {
            throw new AnswerLimitException("a head of more than " + MAX_LINES + " lines");
        }
        addField(HttpGrammar.parseField(line));
        return false;
    }

    private void addField(HttpHeaders.Field field) throws MalformedAnswerException {
        if (field.isNamed("Content-Length")) {
            HttpGrammar.check(contentLength.isEmpty(), "the content length is given twice");
            contentLength = OptionalLong.of(HttpGrammar.parseLength(field.value()));
        } else if (field.isNamed("Transfer-Encoding")) {
            HttpGrammar.check(!isChunked, "the transfer coding is given twice");
            HttpGrammar.checkCoding(field.value());
            isChunked = true;
        }
    }

    private int status() {
        return statusLine.orElseThrow().status();
    }

    /** Returns whether another head follows. */
    boolean isInterim() {
        return status() <= LAST_INTERIM;
    }

    /** Returns the length of the body, if the head gives it. */
    OptionalLong contentLength() {
        return contentLength;
    }

    /**
     * Returns what ends the body of a complete head.
     *
     * @throws MalformedAnswerException if the fields contradict each other or the status, or the
     *     status is not an answer to {@code request}
     */
    BodyFraming bodyFraming(RequestTraits request) throws MalformedAnswerException {
        boolean hasLength = contentLength.isPresent();
        HttpGrammar.check(
                !isChunked || !hasLength, "both a content length and a transfer coding are given");
        HttpGrammar.check(
                !isChunked || !statusLine.orElseThrow().isHttp10(),
                "an answer of HTTP/1.0 has a transfer coding");
        HttpGrammar.check(status() != SWITCHING_PROTOCOLS, "the protocol is switched unasked");
        HttpGrammar.check(
                status() != NOT_MODIFIED || request.isConditional(),
                "the status is that of a condition, and the request had none");
        if (isInterim() || status() == NO_CONTENT) {
            HttpGrammar.check(
                    !isChunked && contentLength.orElse(0) == 0,
                    "a status without a body comes with the framing of one");
        }
        boolean hasNoBody =
                request.isHead()
                        || isInterim()
                        || status() == NO_CONTENT
                        || status() == NOT_MODIFIED;
        if (hasNoBody) {
            return BodyFraming.NONE;
        }
        if (isChunked) {
            return BodyFraming.CHUNKS;
        }
        return hasLength ? BodyFraming.LENGTH : BodyFraming.CONNECTION_END;
    }
}
