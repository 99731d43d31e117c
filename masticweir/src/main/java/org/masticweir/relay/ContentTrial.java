package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.ContentPolicy;
import org.masticweir.id.ContentId;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.SendRule;

/**
 * Observes how the sends of one request end, and reports it to the quarantine as evidence about the
 * request's content; runs on the traffic thread.
 *
 * <p>The content id is computed when it is first needed, which for most requests is never.
 */
final class ContentTrial {
    private final RelayContext context;
    private final Supplier<ContentId> content;
    private int eventCount;
    private long firstEventMs;
    private boolean isOnTrial;
    private boolean isSuccessRecorded;

    ContentTrial(RelayContext context, RelayRequest request) {
        this.context = checkNotNull(context, "context");
        content = Suppliers.memoize(() -> ContentDigest.of(request));
    }

    ContentId content() {
        return content.get();
    }

    /** Returns the policy that is checked before each send of the request. */
    ContentPolicy policy() {
        return new ContentPolicy() {
            @Override
            public SendRule rule(long nowMs) {
                return context.quarantine().sendRule(content, nowMs);
            }

            @Override
            public OptionalLong holdLeftMs(long nowMs) {
                return OptionalLong.of(
                        context.quarantine().remainingQuarantineMs(content.get(), nowMs));
            }
        };
    }

    /**
     * Returns the number of events of the current send, or of the last one if no send is in
     * progress.
     */
    int eventCount() {
        return eventCount;
    }

    void beginSend() {
        eventCount = 0;
        isSuccessRecorded = false;
        isOnTrial = context.quarantine().beginTrial(content);
    }

    void recordEvent(long nowMs) {
        if (eventCount == 0) {
            firstEventMs = nowMs;
        }
        eventCount++;
        if (!isSuccessRecorded && !hasJustBegun(nowMs)) {
            isSuccessRecorded = true;
            context.quarantine().recordSuccess(content);
        }
    }

    /** Records that the complete answer arrived. */
    void recordAnswer() {
        context.quarantine().recordSuccess(content);
    }

    void endSend() {
        if (isOnTrial) {
            isOnTrial = false;
            context.quarantine().endTrial(content.get());
        }
    }

    /**
     * Records that the server of a send was lost. The loss is not attributed to the content if the
     * request had run for long, if the server was leaving, or if it had been removed from the
     * server list before.
     *
     * @param broke whether the server broke the connection
     */
    void recordLoss(BackendServer server, long sentMs, boolean broke, long nowMs) {
        RelayView view = context.view().get();
        boolean isExpectedToRun =
                view.server(server.incarnation())
                        .filter(s -> !context.selector().isLeaving(s))
                        .isPresent();
        if (isExpectedToRun && hasJustBegun(nowMs)) {
            context.lossInquiry().handleLoss(content.get(), server, sentMs, broke, view.catalog());
        }
    }

    /**
     * Returns whether the server of the send has run the request for less than the duration of a
     * trial.
     */
    boolean hasJustBegun(long nowMs) {
        return eventCount == 0 || nowMs - firstEventMs < Quarantine.TRIAL_MS;
    }
}
