package org.masticweir.standins.platform.http;

/** The faults that a server adds to calls; read on I/O threads, so implementations never block. */
public interface Disruption {
    /** A server without faults. */
    Disruption NONE =
            new Disruption() {
                @Override
                public boolean closes(String path) {
                    return false;
                }

                @Override
                public long lateMs(String path) {
                    return 0;
                }
            };

    /** Tells whether a connection that calls {@code path} is closed without an answer now. */
    boolean closes(String path);

    /** Returns how many milliseconds the answer to {@code path} is held back. */
    long lateMs(String path);
}
