package org.masticweir.http;

/** What marks the end of a body. */
enum BodyFraming {
    /** There is no body. */
    NONE,
    LENGTH,
    CHUNKS,
    CONNECTION_END
}
