package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;

/**
 * The servers that ended while they ran requests with one content or one part of a prompt;
 * immutable.
 *
 * <p>Incarnations are added, and only the oldest are dropped. Records of several routers can
 * therefore be merged in any order and any number of times. Each lost server counts once, even if
 * several routers observed its loss.
 *
 * @param isPart whether {@code content} is a part that requests share, not a whole content
 * @param lastSuccessMs latest time for which it is known that the content crashes no server
 * @param losses one loss for each incarnation that ended while it began to run the content
 * @param withdrawn incarnations whose losses no longer count
 */
public record CrashRecord(
        ContentId content,
        boolean isPart,
        OptionalLong lastSuccessMs,
        ImmutableList<Loss> losses,
        ImmutableSet<ServerIncarnation> withdrawn) {
    /** Maximum number of incarnations in each list; larger than any count that a decision needs. */
    public static final int MAX_INCARNATIONS = 32;

    public CrashRecord {
        checkNotNull(content, "content");
        checkNotNull(lastSuccessMs, "lastSuccessMs");
        checkArgument(losses.size() <= MAX_INCARNATIONS, "%s losses", losses.size());
        checkArgument(
                withdrawn.size() <= MAX_INCARNATIONS,
                "%s withdrawn incarnations",
                withdrawn.size());
    }

    /** Returns a record of the whole content {@code content} without losses. */
    public static CrashRecord of(ContentId content) {
        return new CrashRecord(
                content, false, OptionalLong.empty(), ImmutableList.of(), ImmutableSet.of());
    }

    /** Returns a record of {@code part} without losses. */
    public static CrashRecord ofPart(ContentId part) {
        return new CrashRecord(
                part, true, OptionalLong.empty(), ImmutableList.of(), ImmutableSet.of());
    }

    /**
     * Returns the losses since the last success that were not withdrawn, ordered by the end times
     * of the servers.
     */
    public ImmutableList<Loss> countedLosses() {
        return losses.stream()
                .filter(l -> !withdrawn.contains(l.life()) && isAfterLastSuccess(l))
                .sorted(Comparator.comparingLong(Loss::endedMs))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns how many crashes of servers are attributed to the content.
     *
     * <p>Prevents a quarantine after the loss of a domain: many callers may send one content, and
     * all servers that had begun to run this content end at the same time. Servers that received
     * the content before the first of these servers ended count as one crash, since all of these
     * losses may have another common cause.
     */
    public int crashCount() {
        int crashes = 0;
        Optional<Loss> last = Optional.empty();
        for (Loss loss : countedLosses()) {
            if (last.isEmpty() || loss.isIndependentOf(last.get())) {
                crashes++;
                last = Optional.of(loss);
            }
        }
        return crashes;
    }

    private boolean isAfterLastSuccess(Loss loss) {
        return lastSuccessMs.isEmpty() || loss.endedMs() > lastSuccessMs.getAsLong();
    }

    /** Returns whether the last success of this record is older than {@code ms}, or unknown. */
    boolean hasNoSuccessSince(long ms) {
        return lastSuccessMs.isEmpty() || lastSuccessMs.getAsLong() < ms;
    }

    boolean isEmpty() {
        return losses.isEmpty();
    }

    Optional<Loss> lastLoss() {
        return losses.stream().max(Comparator.comparingLong(Loss::endedMs));
    }

    CrashRecord withLoss(Loss loss) {
        return with(union(losses, ImmutableList.of(loss)), withdrawn);
    }

    CrashRecord withdrawLossOf(ServerIncarnation incarnation) {
        return with(losses, union(withdrawn, ImmutableSet.of(incarnation)));
    }

    /** Returns this record after a success that shows no crash up to {@code successMs}. */
    CrashRecord withSuccess(long successMs) {
        Set<ServerIncarnation> cleared =
                losses.stream()
                        .filter(l -> l.endedMs() <= successMs)
                        .map(Loss::life)
                        .collect(ImmutableSet.toImmutableSet());
        return new CrashRecord(
                content,
                isPart,
                laterOf(lastSuccessMs, OptionalLong.of(successMs)),
                losses,
                union(withdrawn, cleared));
    }

    CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                content,
                isPart || other.isPart,
                laterOf(lastSuccessMs, other.lastSuccessMs),
                union(losses, other.losses),
                union(withdrawn, other.withdrawn));
    }

    /** Returns this record with all times shifted by {@code ms}. */
    public CrashRecord shifted(long ms) {
        return new CrashRecord(
                content,
                isPart,
                lastSuccessMs.isEmpty()
                        ? lastSuccessMs
                        : OptionalLong.of(lastSuccessMs.getAsLong() + ms),
                losses.stream().map(l -> l.shifted(ms)).collect(ImmutableList.toImmutableList()),
                withdrawn);
    }

    private CrashRecord with(
            ImmutableList<Loss> newLosses, ImmutableSet<ServerIncarnation> newWithdrawn) {
        return new CrashRecord(content, isPart, lastSuccessMs, newLosses, newWithdrawn);
    }

    private static OptionalLong laterOf(OptionalLong first, OptionalLong second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isEmpty() ? second : first;
        }
        return OptionalLong.of(Math.max(first.getAsLong(), second.getAsLong()));
    }

    /** Returns the latest losses of both lists. */
    private static ImmutableList<Loss> union(List<Loss> first, List<Loss> second) {
        Map<ServerIncarnation, Loss> byIncarnation = new LinkedHashMap<>();
        first.forEach(l -> byIncarnation.put(l.life(), l));
        second.forEach(l -> byIncarnation.merge(l.life(), l, Loss::laterOf));
        if (byIncarnation.size() <= MAX_INCARNATIONS) {
            return ImmutableList.copyOf(byIncarnation.values());
        }
        return byIncarnation.values().stream()
                .sorted(Comparator.comparingLong(Loss::endedMs).reversed())
                .limit(MAX_INCARNATIONS)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the incarnations of both sets that were added last. */
    private static ImmutableSet<ServerIncarnation> union(
            Set<ServerIncarnation> first, Set<ServerIncarnation> second) {
        Set<ServerIncarnation> all = Sets.union(first, second);
        return all.stream()
                .skip(Math.max(0, all.size() - MAX_INCARNATIONS))
                .collect(ImmutableSet.toImmutableSet());
    }
}
