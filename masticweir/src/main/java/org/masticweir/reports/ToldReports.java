package org.masticweir.reports;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticweir.control.EngineHoldings;
import org.masticweir.engine.LoadReport;
import org.masticweir.id.EngineId;

/**
 * Decides which readings are news to the peers of the domain.
 *
 * <p>News are a load that moved by a step, another role or other models, and whether the engine
 * answers. What is no news is told again from time to time, since a message may be lost and since
 * silence means that nobody reads. Models are long and seldom change: they are told on a change and
 * rarely otherwise. Not thread-safe: owned by the control thread.
 */
public final class ToldReports {
    /** A load that moved by one part in so many of the capacity is news. */
    private static final int STEPS = 16;

    /** Models are told again with one repetition in so many. */
    private static final int FULL_EVERY = 10;

    private final long repeatMs;
    private final Map<EngineId, Told> told = new HashMap<>();

    private ToldReports(long repeatMs) {
        checkArgument(repeatMs > 0, "repeat %s ms", repeatMs);
        this.repeatMs = repeatMs;
    }

    /** Returns a state that tells each reading at least once in {@code repeatMs}. */
    public static ToldReports repeating(long repeatMs) {
        return new ToldReports(repeatMs);
    }

    /** Has everything told anew in full, as for a peer that has just come. */
    public void tellAll() {
        told.clear();
    }

    /**
     * Returns what to tell of {@code own}, the latest readings of the engines that this router
     * reads, each in full.
     */
    public ImmutableList<EngineDigest> due(Collection<EngineDigest> own, long nowMs) {
        ImmutableList.Builder<EngineDigest> due = ImmutableList.builder();
        Set<EngineId> present = new HashSet<>();
        for (EngineDigest digest : own) {
            present.add(digest.engine());
            next(digest, nowMs).ifPresent(due::add);
        }
        told.keySet().retainAll(present);
        return due.build();
    }

    private Optional<EngineDigest> next(EngineDigest digest, long nowMs) {
        checkNotNull(digest, "digest");
        Told before = told.get(digest.engine());
        boolean fresh =
                digest.reading().map(r -> nowMs - r.ageMs()).orElse(nowMs) > lastReadMs(before);
        boolean news = before == null || (fresh && isNews(before.digest, digest));
        boolean repeat = before != null && fresh && nowMs - before.atMs >= repeatMs;
        if (!news && !repeat) {
            return Optional.empty();
        }
        boolean full = before == null || before.repeats == 0 || otherModels(before.digest, digest);
        int repeats = full ? FULL_EVERY - 1 : before.repeats - (repeat ? 1 : 0);
        told.put(digest.engine(), new Told(digest, nowMs, Math.max(0, repeats)));
        return Optional.of(full ? digest : brief(digest));
    }

    private static long lastReadMs(Told before) {
        return before == null
                ? Long.MIN_VALUE
                : before.digest.reading().map(r -> before.atMs - r.ageMs()).orElse(before.atMs);
    }

    private static EngineDigest brief(EngineDigest d) {
        return new EngineDigest(d.engine(), d.reading().map(EngineReading::brief));
    }

    private static boolean isNews(EngineDigest before, EngineDigest now) {
        if (before.reading().isEmpty() || now.reading().isEmpty()) {
            return before.reading().isPresent() != now.reading().isPresent();
        }
        EngineReading then = before.reading().get();
        EngineReading next = now.reading().get();
        return then.role() != next.role()
                || otherModels(before, now)
                || then.load().capacity() != next.load().capacity()
                || moved(then.load(), next.load());
    }

    private static boolean otherModels(EngineDigest before, EngineDigest now) {
        Optional<EngineHoldings> then = before.reading().flatMap(EngineReading::holdings);
        Optional<EngineHoldings> next = now.reading().flatMap(EngineReading::holdings);
        return next.isPresent() && !then.equals(next);
    }

    /** Tells whether the load changed by a step, or between a free batch and a queue. */
    private static boolean moved(LoadReport then, LoadReport next) {
        int by = Math.abs(sequences(next) - sequences(then));
        boolean queued = (then.waiting() == 0) != (next.waiting() == 0);
        return queued || by >= Math.max(1, next.capacity() / STEPS);
    }

    private static int sequences(LoadReport load) {
        return load.running() + load.waiting();
    }

    /** What was told last, and how many repetitions go without the models from here on. */
    private record Told(EngineDigest digest, long atMs, int repeats) {}
}
