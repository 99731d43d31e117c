package org.masticweir.recovery;

/** What a probe of a silent engine says of it. */
enum ProbeVerdict {
    /** Nothing that changes what is done. */
    NOTHING,

    /** The engine lives, or has spoken meanwhile: wait for a silence as long as the bound. */
    LISTEN,

    /** Nothing is certain: probe again after a pause. */
    PROBE_AGAIN,

    /** The engine went on but its frames do not arrive: the link is cut one way. */
    REREAD,

    /** The engine is gone, or lives without generating. */
    LEAVE
}
