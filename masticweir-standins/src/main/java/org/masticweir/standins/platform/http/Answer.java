package org.masticweir.standins.platform.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** What a service answers to one call: a status and a body, or a connection closed without both. */
public final class Answer {
    private static final int STATUS_OK = 200;
    private static final Answer LOST = new Answer(STATUS_OK, "", new byte[0], true, 0);

    private final int status;
    private final String contentType;
    private final byte[] body;
    private final boolean lost;
    private final long lateMs;

    private Answer(int status, String contentType, byte[] body, boolean lost, long lateMs) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
        this.lost = lost;
        this.lateMs = lateMs;
    }

    public static Answer ok(Object message) {
        return json(STATUS_OK, message);
    }

    public static Answer json(int status, Object message) {
        checkNotNull(message, "message");
        return new Answer(status, "application/json", Json.write(message), false, 0);
    }

    public static Answer bytes(byte[] body) {
        return new Answer(STATUS_OK, "application/octet-stream", body, false, 0);
    }

    /** Returns the answer that tells of an error, with its code's status. */
    public static Answer error(MasticweirException e) {
        ErrorBody body = new ErrorBody(e.code().name(), e.verdict().name(), e.getMessage());
        return json(e.code().httpStatus(), body);
    }

    public static Answer error(ErrorCode code, String message) {
        return error(MasticweirException.notRun(code, message));
    }

    /** Returns the answer that never arrives: the connection is closed instead. */
    public static Answer lost() {
        return LOST;
    }

    /** Returns this answer, sent {@code ms} milliseconds later. */
    public Answer lateByMs(long ms) {
        checkArgument(ms >= 0, "late by %s ms", ms);
        return new Answer(status, contentType, body, lost, lateMs + ms);
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    byte[] body() {
        return body;
    }

    boolean isLost() {
        return lost;
    }

    long lateMs() {
        return lateMs;
    }

    private record ErrorBody(String code, String verdict, String message) {}
}
