package org.masticweir.cli;

import java.util.Optional;

/**
 * What logs tell of one request so far; immutable.
 *
 * @param stream whether it went to an engine
 * @param sends how often it was sent
 * @param far whether its first server was outside its router's domain, if that is known
 * @param running requests at its first server before it
 * @param reading prompts in reading there
 * @param trouble what happened to its first send that failed; empty if none did
 * @param outcome how it ended
 * @param cause why
 * @param tookMs time from its arrival to its end
 */
record RequestFlight(
        boolean stream,
        int sends,
        Optional<Boolean> far,
        int running,
        int reading,
        String trouble,
        String outcome,
        String cause,
        long tookMs) {
    /** A request whose end no log tells: its router was lost under it, or still serves it. */
    static final String NO_END = "no end";

    private static final RequestFlight NONE =
            new RequestFlight(false, 0, Optional.empty(), 0, 0, "", NO_END, "the log ends", 0);

    static RequestFlight none() {
        return NONE;
    }

    RequestFlight sent(
            boolean streamed, Optional<Boolean> away, int runningThere, int readingThere) {
        boolean first = sends == 0;
        return new RequestFlight(
                stream || streamed,
                sends + 1,
                first ? away : far,
                first ? runningThere : running,
                first ? readingThere : reading,
                trouble,
                outcome,
                cause,
                tookMs);
    }

    RequestFlight troubled(String what) {
        return new RequestFlight(
                stream,
                sends,
                far,
                running,
                reading,
                trouble.isEmpty() ? what : trouble,
                outcome,
                cause,
                tookMs);
    }

    RequestFlight ended(boolean streamed, String how, String why, long ms) {
        return new RequestFlight(
                stream || streamed, sends, far, running, reading, trouble, how, why, ms);
    }

    /** Returns the cause, with what came before a good end. */
    String fullCause() {
        return trouble.isEmpty() ? cause : cause + ", after a server " + trouble;
    }
}
