package org.masticweir.error;

/** The codes of all errors that leave a process, each with its HTTP status. */
public enum ErrorCode {
    BAD_REQUEST(400),
    UNAUTHORIZED(401),
    FORBIDDEN(403),
    NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    CONFLICT(409),
    DUPLICATE(409),
    BODY_TOO_LARGE(413),
    UNKNOWN_TEAM(401),
    UNKNOWN_CLASS(400),
    UNKNOWN_MODEL(400),
    KEY_REUSED(422),
    HEADERS_TOO_LARGE(431),
    OVER_LIMIT(429),
    OVERLOADED(503),
    NO_ENGINE(503),
    NO_CONFIGURATION(503),
    SHUTTING_DOWN(503),
    /** Servers ended under requests with this content; it is not sent to more of them. */
    QUARANTINED(503),
    PLATFORM_UNAVAILABLE(503),
    ENGINE_LOST(502),
    ENGINE_REFUSED(502),
    SUPERSEDED(409),
    CANCELLED(499),
    DEADLINE_EXCEEDED(504),
    SETTINGS_INVALID(400),
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status that carries this code towards callers and operators. */
    public int httpStatus() {
        return httpStatus;
    }
}
