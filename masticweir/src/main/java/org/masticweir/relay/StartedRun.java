package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.quarantine.RequestContent;

/**
 * A run of a request that has begun, and has not lasted longer than a trial; immutable.
 *
 * @param sentMs when the request was sent to the server
 */
record StartedRun(RequestContent content, long sentMs) {
    StartedRun {
        checkNotNull(content, "content");
    }
}
