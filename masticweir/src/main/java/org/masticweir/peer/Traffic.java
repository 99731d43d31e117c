package org.masticweir.peer;

/** Frames and bytes that went in and out, frame lengths included; immutable. */
public record Traffic(long framesIn, long bytesIn, long framesOut, long bytesOut) {
    static final Traffic NONE = new Traffic(0, 0, 0, 0);

    Traffic plus(Traffic t) {
        return new Traffic(
                framesIn + t.framesIn,
                bytesIn + t.bytesIn,
                framesOut + t.framesOut,
                bytesOut + t.bytesOut);
    }
}
