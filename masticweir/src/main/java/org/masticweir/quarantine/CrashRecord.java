package org.masticweir.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.masticweir.catalog.ServerLife;
import org.masticweir.id.ContentId;

/**
 * Which servers ended under requests with one content, as far as is known; immutable.
 *
 * <p>Both sets only ever grow, so records of several routers can be merged in any order and as
 * often as they come, and a server counts once whoever lost it.
 *
 * @param ended lives that ended while they began to run the content
 * @param withdrawn those of them that are not held against it any more
 */
public record CrashRecord(
        ContentId content, ImmutableSet<ServerLife> ended, ImmutableSet<ServerLife> withdrawn) {
    /** Lives kept in each set; more than are ever counted. */
    public static final int MOST_LIVES = 32;

    public CrashRecord {
        checkNotNull(content, "content");
        checkArgument(ended.size() <= MOST_LIVES, "%s lives", ended.size());
        checkArgument(withdrawn.size() <= MOST_LIVES, "%s withdrawn lives", withdrawn.size());
    }

    /** Returns the record of a content under which no server has ended. */
    public static CrashRecord of(ContentId content) {
        return new CrashRecord(content, ImmutableSet.of(), ImmutableSet.of());
    }

    /** Returns the lives that are held against the content. */
    public ImmutableSet<ServerLife> held() {
        return Sets.difference(ended, withdrawn).immutableCopy();
    }

    CrashRecord with(ServerLife life) {
        return new CrashRecord(content, union(ended, ImmutableSet.of(life)), withdrawn);
    }

    CrashRecord withdraw(ServerLife life) {
        return new CrashRecord(content, ended, union(withdrawn, ImmutableSet.of(life)));
    }

    CrashRecord withdrawAll() {
        return new CrashRecord(content, ended, union(withdrawn, ended));
    }

    CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                content, union(ended, other.ended), union(withdrawn, other.withdrawn));
    }

    private static ImmutableSet<ServerLife> union(
            ImmutableSet<ServerLife> some, ImmutableSet<ServerLife> others) {
        return Sets.union(some, others).stream()
                .limit(MOST_LIVES)
                .collect(ImmutableSet.toImmutableSet());
    }
}
