package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;
import org.masticweir.id.RouterId;

/**
 * The contents and parts of prompts that may have crashed servers, based on the losses that all
 * routers observed; owned by the traffic thread.
 *
 * <p>A request that crashes each server that begins to run it may be submitted again and again, at
 * any router and under new ids. Without a quarantine, the recorded losses would be discarded at the
 * end of each submission. Each submission would then crash as many servers as its route allows, and
 * all requests that run on these servers would fail. The quarantine keeps the recorded losses after
 * the submission ends. After {@link #CRASH_LIMIT} crashes the content is put into quarantine and
 * rejected.
 *
 * <p>A part of a prompt may crash servers too, in requests of different contents. Each loss is
 * recorded for the whole content and for all parts of each request that had just begun on the
 * server. A part is to blame if all its losses have no other content or part in common that ran
 * without a crash less recently. A request with a part of which this is unclear is tried.
 *
 * <p>A trial is a send of a suspected content: a content with at least one counted crash. While a
 * trial runs, other requests with the same content wait.
 *
 * <p>After each call that may change the state of a content, the owner sends the result of {@link
 * #drainUpdates} to the other routers.
 */
public final class Quarantine {
    /** Minimum number of crashes of a content in quarantine. */
    public static final int CRASH_LIMIT = 3;

    /**
     * Minimum number of crashes of a content that is sent to the least loaded server. Most contents
     * with one crash ran on the same server as the request that caused the crash. The normal choice
     * of a server is best for these contents.
     */
    static final int LEAST_LOADED_MIN_CRASHES = 2;

    /**
     * Duration of a trial from the first event of a run, in ms. If the server ends within this
     * time, its loss is recorded for the content. After a longer run at one server the content is
     * no longer suspected.
     */
    public static final long TRIAL_MS = 2_000;

    /** Duration of the quarantine of a content that has reached the limit, in ms. */
    static final long FIRST_QUARANTINE_MS = 60_000;

    /** Factor by which the duration of the quarantine grows with each further crash. */
    private static final int QUARANTINE_GROWTH_FACTOR = 8;

    /**
     * Time after the last update from a router at which the router's trial no longer delays
     * requests, in ms.
     */
    static final long PEER_TRIAL_EXPIRY_MS = 10_000;

    /** Time over which the routers spread their sends of a suspected part, in ms. */
    private static final int TRIAL_STAGGER_MS = 1_000;

    /** Time over which the routers spread their sends after a part's quarantine, in ms. */
    private static final int QUARANTINE_STAGGER_MS = 10_000;

    /** Minimum time between two updates about successes of a part without counted losses, in ms. */
    private static final long SUCCESS_UPDATE_MS = 10_000;

    /** Maximum number of parts of a request that are recorded. */
    private static final int MAX_PARTS = 64;

    private final RouterId self;
    private final long maxQuarantineMs;
    private final CrashEvidence evidence;
    private final BlameRule blame;
    private final OwnTrials ownTrials = new OwnTrials();
    private final Set<ContentId> pendingUpdates = new LinkedHashSet<>();

    /** The change of a content's state by one call. */
    public enum Change {
        NONE,
        SUSPECTED,
        QUARANTINED,
        CLEARED;

        private Change latestOf(Change next) {
            return next == NONE ? this : next;
        }
    }

    /**
     * The state of one content or part, for other routers.
     *
     * @param record record with times relative to the time of sending, which is 0
     * @param isOnTrial whether a trial of the content runs at the sender
     */
    public record ContentUpdate(CrashRecord record, boolean isOnTrial) {
        public ContentUpdate {
            checkNotNull(record, "record");
        }
    }

    private Quarantine(RouterId self, long maxQuarantineMs) {
        this.self = checkNotNull(self, "self");
        this.maxQuarantineMs = maxQuarantineMs;
        evidence = new CrashEvidence(maxQuarantineMs);
        blame = new BlameRule(evidence);
    }

    /**
     * Returns an empty quarantine.
     *
     * @param maxQuarantineMs maximum duration of a quarantine; losses are removed at this time
     *     after the last loss
     */
    public static Quarantine create(RouterId self, long maxQuarantineMs) {
        checkArgument(maxQuarantineMs > 0, "hold of %s ms", maxQuarantineMs);
        return new Quarantine(self, maxQuarantineMs);
    }

    /** Returns whether no loss of any content is recorded; callers then need no content id. */
    public boolean isEmpty() {
        return evidence.isEmpty();
    }

    private static ImmutableSet<ContentId> recordedIds(RequestContent content) {
        return ImmutableSet.<ContentId>builder()
                .addAll(content.parts().asList().stream().limit(MAX_PARTS).iterator())
                .add(content.whole())
                .build();
    }

    /** Returns whether and where a request with {@code content} may be sent now. */
    public SendRule sendRule(RequestContent content, long nowMs) {
        SendRule strictest = SendRule.ANY_SERVER;
        for (ContentId id : recordedIds(content)) {
            ContentState state = evidence.findUnexpired(id, nowMs);
            if (state != null) {
                strictest = strictest.stricterOf(ruleOf(state, content, nowMs));
            }
        }
        return strictest;
    }

    private SendRule ruleOf(ContentState state, RequestContent content, long nowMs) {
        int suspicion = blame.suspicion(state, content, nowMs);
        if (suspicion == 0) {
            boolean isInquired = state.isInquired() && !isProven(state);
            return isInquired ? SendRule.WAIT : SendRule.ANY_SERVER;
        }
        boolean isHeld = suspicion >= CRASH_LIMIT && nowMs < quarantineEndMs(state);
        if (isHeld && !blame.isAmbiguous(state, content)) {
            return SendRule.REJECT;
        }
        if (state.isInquired() || state.isOnTrial(nowMs) || state.isStaggered(nowMs)) {
            return SendRule.WAIT;
        }
        return suspicion >= LEAST_LOADED_MIN_CRASHES ? SendRule.LEAST_LOADED : SendRule.ANY_SERVER;
    }

    private static boolean isProven(ContentState state) {
        return state.record().isPart() && state.record().lastSuccessMs().isPresent();
    }

    /**
     * Returns when the quarantine ends. The routers that did not observe the last loss send later,
     * each at a time of its own, so that one request is tried and not one at each router.
     */
    private long quarantineEndMs(ContentState state) {
        long endMs = state.lastLossOrCreationMs() + quarantineMs(state.crashesForDuration());
        boolean isFirst = state.isLossObservedHere() || !state.record().isPart();
        return isFirst ? endMs : endMs + staggerMs(state, QUARANTINE_STAGGER_MS);
    }

    /**
     * Returns the duration of a quarantine after the last crash.
     *
     * <p>Each quarantine ends, so that a harmless content that coincided with crashes is not
     * rejected forever. Each quarantine lasts longer than the previous one, up to the maximum.
     */
    private long quarantineMs(int crashes) {
        long durationMs = FIRST_QUARANTINE_MS;
        for (int i = CRASH_LIMIT; i < crashes && durationMs < maxQuarantineMs; i++) {
            durationMs *= QUARANTINE_GROWTH_FACTOR;
        }
        return Math.min(durationMs, maxQuarantineMs);
    }

    /** Returns a delay below {@code maxMs} that differs between routers and between crashes. */
    private int staggerMs(ContentState state, int maxMs) {
        String seed = self + " " + state.content() + " " + state.crashCount();
        return Math.floorMod(Hashing.murmur3_32_fixed().hashString(seed, UTF_8).asInt(), maxMs);
    }

    /** Returns the counted losses of a content or part. */
    public ImmutableList<Loss> countedLosses(ContentId content) {
        ContentState state = evidence.get(content);
        return state == null ? ImmutableList.of() : state.record().countedLosses();
    }

    /** Returns the time until {@code content} and its parts are not in quarantine, in ms. */
    public long remainingQuarantineMs(RequestContent content, long nowMs) {
        return recordedIds(content).stream()
                .map(evidence::get)
                .filter(s -> s != null && blame.suspicion(s, content, nowMs) >= CRASH_LIMIT)
                .mapToLong(s -> Math.max(0, quarantineEndMs(s) - nowMs))
                .max()
                .orElse(0);
    }

    /** Returns the time until the quarantine of one content or part ends, in ms. */
    long remainingQuarantineMs(ContentId id, long nowMs) {
        ContentState state = evidence.get(id);
        return state == null ? 0 : Math.max(0, quarantineEndMs(state) - nowMs);
    }

    /**
     * Records that this router sends a request with {@code content}. Returns whether this send is a
     * trial; the trial lasts until {@link #endTrial}.
     */
    public boolean beginTrial(RequestContent content, long nowMs) {
        ImmutableSet<ContentId> suspects =
                recordedIds(content).stream()
                        .filter(
                                id -> {
                                    ContentState state = evidence.findUnexpired(id, nowMs);
                                    return state != null
                                            && blame.suspicion(state, content, nowMs) > 0;
                                })
                        .collect(ImmutableSet.toImmutableSet());
        if (suspects.isEmpty()) {
            return false;
        }
        ownTrials.begin(content, suspects);
        suspects.forEach(id -> evidence.get(id).beginOwnTrial());
        pendingUpdates.addAll(suspects);
        return true;
    }

    /** Records the end of a trial. */
    public void endTrial(RequestContent content) {
        for (ContentId id : ownTrials.end(content)) {
            ContentState state = evidence.get(id);
            if (state != null) {
                state.endOwnTrial();
                pendingUpdates.add(id);
            }
        }
    }

    /**
     * Records that the cause of a loss under {@code content} is being determined; requests with the
     * content, or with a part that is not known to run, wait until {@link #endInquiry}.
     */
    public void beginInquiry(RequestContent content, long nowMs) {
        for (ContentId id : recordedIds(content)) {
            getOrCreate(id, content, nowMs).beginInquiry();
        }
    }

    /** Records that the cause of a loss has been determined. */
    public void endInquiry(RequestContent content) {
        for (ContentId id : recordedIds(content)) {
            ContentState state = evidence.get(id);
            if (state != null) {
                state.endInquiry();
                if (state.crashCount() > 0) {
                    pendingUpdates.add(id);
                }
                evidence.removeIfEmpty(state);
            }
        }
    }

    /** Records the end of a server that had begun to run a request with {@code content}. */
    public ImmutableMap<ContentId, Change> recordLoss(
            RequestContent content, Loss loss, long nowMs) {
        return recordedIds(content).stream()
                .collect(
                        ImmutableMap.toImmutableMap(
                                Function.identity(),
                                id -> recordLoss(getOrCreate(id, content, nowMs), loss, nowMs)));
    }

    /**
     * Records the end of one server that had begun to run several requests. Returns the changes
     * after all losses are recorded.
     */
    public ImmutableMap<ContentId, Change> recordLosses(
            Map<RequestContent, Loss> losses, long nowMs) {
        Map<ContentId, Change> changes = new LinkedHashMap<>();
        losses.forEach(
                (content, loss) ->
                        recordLoss(content, loss, nowMs)
                                .forEach(
                                        (id, change) ->
                                                changes.merge(id, change, Change::latestOf)));
        return ImmutableMap.copyOf(changes);
    }

    private Change recordLoss(ContentState state, Loss loss, long nowMs) {
        state.setLossObservedHere(true);
        state.staggerUntil(nowMs);
        return setRecord(state, state.record().withLoss(loss), nowMs);
    }

    /**
     * Records that a request with {@code content} ran without crashing its server. A run shows
     * nothing about a part that crashes servers since it began; a content is always the same.
     *
     * @param beganMs when the run began
     */
    public ImmutableMap<ContentId, Change> recordSuccess(
            RequestContent content, long beganMs, long nowMs) {
        ImmutableMap.Builder<ContentId, Change> changes = ImmutableMap.builder();
        for (ContentId id : recordedIds(content)) {
            boolean isPart = !id.equals(content.whole());
            if (isPart) {
                evidence.recordSuccess(id, beganMs);
            }
            ContentState state = evidence.findUnexpired(id, nowMs);
            if (state != null) {
                changes.put(id, recordSuccess(state, isPart ? beganMs : nowMs, nowMs));
            }
        }
        return changes.build();
    }

    private Change recordSuccess(ContentState state, long successMs, long nowMs) {
        boolean hadUpdate = pendingUpdates.contains(state.content());
        int crashes = state.crashCount();
        if (crashes == 0 && !state.record().isPart()) {
            return Change.NONE;
        }
        Change change = setRecord(state, state.record().withSuccess(successMs), nowMs);
        boolean isNews = state.crashCount() != crashes || state.isSuccessNews(SUCCESS_UPDATE_MS);
        if (!hadUpdate && !isNews) {
            pendingUpdates.remove(state.content());
        }
        return change;
    }

    /** Returns the contents and parts for which the loss of {@code incarnation} counts. */
    ImmutableList<ContentId> contentsWithLossOf(ServerIncarnation incarnation) {
        return evidence.all().stream()
                .filter(s -> s.countedIncarnations().contains(incarnation))
                .map(ContentState::content)
                .collect(ImmutableList.toImmutableList());
    }

    /** Records an answer of {@code incarnation}, whose loss may have been counted. */
    public ImmutableMap<ContentId, Change> recordAlive(ServerIncarnation incarnation, long nowMs) {
        return contentsWithLossOf(incarnation).stream()
                .collect(
                        ImmutableMap.toImmutableMap(
                                Function.identity(), id -> withdrawLoss(id, incarnation, nowMs)));
    }

    private Change withdrawLoss(ContentId content, ServerIncarnation incarnation, long nowMs) {
        ContentState state = evidence.get(content);
        return setRecord(state, state.record().withdrawLossOf(incarnation), nowMs);
    }

    /** Applies another router's update; updates may arrive twice, late and in any order. */
    public Change handleUpdate(RouterId peer, ContentUpdate update, long nowMs) {
        CrashRecord record = update.record();
        ContentState state = evidence.getOrCreate(record.content(), record.isPart(), nowMs);
        OptionalLong trialUntilMs =
                update.isOnTrial()
                        ? OptionalLong.of(nowMs + PEER_TRIAL_EXPIRY_MS)
                        : OptionalLong.empty();
        boolean hasTrialEnded = state.setPeerTrial(peer, trialUntilMs);
        int crashes = state.crashCount();
        Change change = merge(state, record.shifted(nowMs), nowMs);
        boolean hasLoss = state.crashCount() > crashes;
        if (hasLoss) {
            state.setLossObservedHere(false);
        }
        if (record.isPart() && (hasLoss || hasTrialEnded)) {
            state.staggerUntil(nowMs + staggerMs(state, TRIAL_STAGGER_MS));
        }
        evidence.removeIfEmpty(state);
        return change;
    }

    /** Applies a record read from the store. */
    public Change restore(CrashRecord record, long nowMs) {
        return merge(evidence.getOrCreate(record.content(), record.isPart(), nowMs), record, nowMs);
    }

    /** Removes the trials of a lost router. */
    public void removeTrialsOf(RouterId peer) {
        evidence.all().forEach(s -> s.setPeerTrial(peer, OptionalLong.empty()));
    }

    /** Returns the record of a content or part, if there is one. */
    public Optional<CrashRecord> record(ContentId content) {
        return Optional.ofNullable(evidence.get(content)).map(ContentState::record);
    }

    /** Returns whether there are changes to send to other routers. */
    public boolean hasUpdates() {
        return !pendingUpdates.isEmpty();
    }

    /** Returns and clears the changes that this router made since the last call. */
    public ImmutableList<ContentUpdate> drainUpdates(long nowMs) {
        ImmutableList<ContentUpdate> updates =
                pendingUpdates.stream()
                        .map(evidence::get)
                        .filter(Objects::nonNull)
                        .map(s -> updateOf(s, nowMs))
                        .collect(ImmutableList.toImmutableList());
        pendingUpdates.clear();
        return updates;
    }

    /** Returns all records, for a router that has just been linked. */
    public ImmutableList<ContentUpdate> snapshot(long nowMs) {
        return evidence.all().stream()
                .filter(s -> !s.record().isEmpty())
                .map(s -> updateOf(s, nowMs))
                .collect(ImmutableList.toImmutableList());
    }

    private static ContentUpdate updateOf(ContentState state, long nowMs) {
        state.recordSharedSuccess(state.record().lastSuccessMs());
        return new ContentUpdate(state.record().shifted(-nowMs), state.isBusyHere());
    }

    /**
     * Merges a record of another router and does not forward its changes. This router's own changes
     * remain to be sent, and successes that the other one does not know.
     */
    private Change merge(ContentState state, CrashRecord record, long nowMs) {
        boolean hasOwnUpdate = pendingUpdates.contains(record.content());
        state.recordSharedSuccess(record.lastSuccessMs());
        Change change = setRecord(state, state.record().merge(record), nowMs);
        if (!hasOwnUpdate && !state.isSuccessNews(SUCCESS_UPDATE_MS)) {
            pendingUpdates.remove(record.content());
        }
        return change;
    }

    private Change setRecord(ContentState state, CrashRecord record, long nowMs) {
        if (record.equals(state.record())) {
            return Change.NONE;
        }
        int previous = state.suspicion(nowMs);
        // Another router may not trust a part, and may have saved its record.
        boolean mayBeSaved = previous > 0 || state.crashCount() >= LEAST_LOADED_MIN_CRASHES;
        evidence.setRecord(state, record);
        pendingUpdates.add(record.content());
        int current = state.suspicion(nowMs);
        if (current > previous) {
            return current >= CRASH_LIMIT ? Change.QUARANTINED : Change.SUSPECTED;
        }
        return mayBeSaved && state.crashCount() == 0 ? Change.CLEARED : Change.NONE;
    }

    private ContentState getOrCreate(ContentId id, RequestContent content, long nowMs) {
        return evidence.getOrCreate(id, !id.equals(content.whole()), nowMs);
    }
}
