package org.masticweir.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticweir.catalog.BackendServer;
import org.masticweir.forward.ContentPolicy;
import org.masticweir.quarantine.Quarantine;
import org.masticweir.quarantine.RequestContent;
import org.masticweir.quarantine.SendRule;

/**
 * Observes the sends of one request, and reports successes, losses and trials of its content to the
 * quarantine; runs on the traffic thread. A trial is a send of a suspected content.
 *
 * <p>The content id is computed on first use; most requests never need it.
 */
final class ContentMonitor {
    private final RelayContext context;
    private final Supplier<RequestContent> content;
    private int eventCount;
    private long sentMs;
    private long firstEventMs;
    private boolean isTrial;
    private boolean isSuccessRecorded;

    ContentMonitor(RelayContext context, RelayRequest request) {
        this.context = checkNotNull(context, "context");
        content =
                Suppliers.memoize(
                        () ->
                                new RequestContent(
                                        ContentDigest.of(request),
                                        ContentDigest.ofParts(request.metadata())));
    }

    RequestContent content() {
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
            public SendRule ruleAfterSend(long nowMs) {
                SendRule rule = rule(nowMs);
                return isTrial && rule == SendRule.WAIT ? SendRule.LEAST_LOADED : rule;
            }

            @Override
            public OptionalLong remainingQuarantineMs(long nowMs) {
                return OptionalLong.of(
                        context.quarantine().remainingQuarantineMs(content.get(), nowMs));
            }

            @Override
            public String describeQuarantined(long nowMs) {
                return context.quarantine().describeQuarantined(content.get(), nowMs);
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
        sentMs = context.clock().nowMs();
        isTrial = context.quarantine().beginTrial(content);
    }

    void recordEvent(long nowMs) {
        if (eventCount == 0) {
            firstEventMs = nowMs;
        }
        eventCount++;
        if (!isSuccessRecorded && !hasJustBegun(nowMs)) {
            isSuccessRecorded = true;
            context.quarantine().recordSuccess(content, firstEventMs);
        }
    }

    /** Records the arrival of the complete answer. */
    void recordAnswer() {
        context.quarantine().recordSuccess(content, eventCount == 0 ? sentMs : firstEventMs);
    }

    void endSend() {
        if (isTrial) {
            isTrial = false;
            context.quarantine().endTrial(content.get());
        }
    }

    /**
     * Records the loss of the server of a send. The loss is not attributed to the content if the
     * request had run for longer than a trial, if the server was leaving, or if the server had
     * already been removed from the server list.
     *
     * @param isConnectionBroken whether the server broke the connection
     */
    void recordLoss(BackendServer server, long sentMs, boolean isConnectionBroken, long nowMs) {
        RelayView view = context.view().get();
        boolean isExpectedToRun =
                view.server(server.incarnation())
                        .filter(s -> !context.selector().isLeaving(s))
                        .isPresent();
        if (isExpectedToRun && hasJustBegun(nowMs)) {
            context.lossInquiry()
                    .handleLoss(
                            new StartedRun(content.get(), sentMs),
                            server,
                            isConnectionBroken,
                            view.catalog());
        }
    }

    /** Returns when the current run began if it has lasted longer than a trial. */
    OptionalLong provenRunStartMs(long nowMs) {
        return hasJustBegun(nowMs) ? OptionalLong.empty() : OptionalLong.of(firstEventMs);
    }

    /** Returns the current run, sent at {@code sentMs}, if it has just begun. */
    Optional<StartedRun> startedRun(long sentMs, long nowMs) {
        return hasJustBegun(nowMs)
                ? Optional.of(new StartedRun(content.get(), sentMs))
                : Optional.empty();
    }

    /**
     * Returns whether the current run must be stopped, although it may have begun, because the
     * quarantine rejects its content. A run with events has passed the phase in which parts of
     * prompts end servers.
     */
    boolean mustStop(long nowMs) {
        return eventCount == 0 || (hasJustBegun(nowMs) && isWholeContentRejected(nowMs));
    }

    private boolean isWholeContentRejected(long nowMs) {
        RequestContent whole = RequestContent.of(content.get().whole());
        return context.quarantine().sendRule(() -> whole, nowMs) == SendRule.REJECT;
    }

    /**
     * Returns whether the server of the send has run the request for less time than a trial takes.
     */
    boolean hasJustBegun(long nowMs) {
        return eventCount == 0 || nowMs - firstEventMs < Quarantine.TRIAL_MS;
    }
}
