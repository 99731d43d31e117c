package org.masticweir.forward;

import java.util.OptionalLong;
import org.masticweir.quarantine.SendRule;

/** Decides before each send of a request whether the content of the request may be sent. */
public interface ContentPolicy {
    SendRule rule(long nowMs);

    /**
     * Returns the rule that would hold for another send if the send in flight ended now. It differs
     * if that send is the trial which other sends wait for.
     */
    default SendRule ruleAfterSend(long nowMs) {
        return rule(nowMs);
    }

    /**
     * Returns how long the content stays in quarantine, in ms; empty if the policy has no
     * quarantine.
     */
    OptionalLong remainingQuarantineMs(long nowMs);

    /** Returns which content or parts of the request are in quarantine, for logs and callers. */
    default String describeQuarantined(long nowMs) {
        return "";
    }

    /** Returns the policy of a request that may always be sent. */
    static ContentPolicy allowAll() {
        return new ContentPolicy() {
            @Override
            public SendRule rule(long nowMs) {
                return SendRule.ANY_SERVER;
            }

            @Override
            public OptionalLong remainingQuarantineMs(long nowMs) {
                return OptionalLong.empty();
            }
        };
    }
}
