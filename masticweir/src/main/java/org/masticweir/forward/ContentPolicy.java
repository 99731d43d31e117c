package org.masticweir.forward;

import java.util.OptionalLong;
import org.masticweir.quarantine.SendRule;

/** Says of one request whether its content may be sent, before each of its sends. */
public interface ContentPolicy {
    SendRule rule(long nowMs);

    /** Returns for how long a content that may not be sent is held back, in ms. */
    OptionalLong holdLeftMs(long nowMs);

    /** Returns the gate of a request that may always be sent. */
    static ContentPolicy allowAll() {
        return new ContentPolicy() {
            @Override
            public SendRule rule(long nowMs) {
                return SendRule.ANY_SERVER;
            }

            @Override
            public OptionalLong holdLeftMs(long nowMs) {
                return OptionalLong.empty();
            }
        };
    }
}
