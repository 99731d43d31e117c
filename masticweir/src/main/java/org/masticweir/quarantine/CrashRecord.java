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
import java.util.Set;
import org.masticweir.catalog.ServerIncarnation;
import org.masticweir.id.ContentId;

/**
 * The servers that ended while they ran requests with one content; immutable.
 *
 * <p>Incarnations are added and never removed. Records of several routers can therefore be merged
 * in any order and any number of times. Each lost server counts once, even if several routers
 * observed its loss.
 *
 * @param losses one loss for each incarnation that ended while it began to run the content
 * @param withdrawn incarnations whose losses no longer count
 */
public record CrashRecord(
        ContentId content, ImmutableList<Loss> losses, ImmutableSet<ServerIncarnation> withdrawn) {
    /** Maximum number of incarnations in each list; larger than any count that a decision needs. */
    public static final int MAX_INCARNATIONS = 32;

    public CrashRecord {
        checkNotNull(content, "content");
        checkArgument(losses.size() <= MAX_INCARNATIONS, "%s losses", losses.size());
        checkArgument(
                withdrawn.size() <= MAX_INCARNATIONS,
                "%s withdrawn incarnations",
                withdrawn.size());
    }

    /** Returns a record of {@code content} without losses. */
    public static CrashRecord of(ContentId content) {
        return new CrashRecord(content, ImmutableList.of(), ImmutableSet.of());
    }

    /** Returns the losses that were not withdrawn, ordered by the end times of the servers. */
    public ImmutableList<Loss> countedLosses() {
        return losses.stream()
                .filter(l -> !withdrawn.contains(l.life()))
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

    boolean isEmpty() {
        return losses.isEmpty();
    }

    Optional<Loss> lastLoss() {
        return losses.stream().max(Comparator.comparingLong(Loss::endedMs));
    }

    CrashRecord withLoss(Loss loss) {
        return new CrashRecord(content, union(losses, ImmutableList.of(loss)), withdrawn);
    }

    CrashRecord withdrawLossOf(ServerIncarnation incarnation) {
        return new CrashRecord(content, losses, union(withdrawn, ImmutableSet.of(incarnation)));
    }

    CrashRecord withdrawAllLosses() {
        Set<ServerIncarnation> all =
                losses.stream().map(Loss::life).collect(ImmutableSet.toImmutableSet());
        return new CrashRecord(content, losses, union(withdrawn, all));
    }

    CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                content, union(losses, other.losses), union(withdrawn, other.withdrawn));
    }

    /** Returns this record with all times shifted by {@code ms}. */
    public CrashRecord shifted(long ms) {
        return new CrashRecord(
                content,
                losses.stream().map(l -> l.shifted(ms)).collect(ImmutableList.toImmutableList()),
                withdrawn);
    }

    private static ImmutableList<Loss> union(List<Loss> first, List<Loss> second) {
        Map<ServerIncarnation, Loss> byIncarnation = new LinkedHashMap<>();
        first.forEach(l -> byIncarnation.put(l.life(), l));
        second.forEach(l -> byIncarnation.merge(l.life(), l, Loss::laterOf));
        return byIncarnation.values().stream()
                .limit(MAX_INCARNATIONS)
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableSet<ServerIncarnation> union(
            Set<ServerIncarnation> first, Set<ServerIncarnation> second) {
        return Sets.union(first, second).stream()
                .limit(MAX_INCARNATIONS)
                .collect(ImmutableSet.toImmutableSet());
    }
}
