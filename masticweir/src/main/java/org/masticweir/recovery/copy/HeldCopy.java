package org.masticweir.recovery.copy;

import com.google.common.primitives.ImmutableIntArray;
import java.util.Arrays;
import java.util.Optional;

/**
 * What a holder knows of one request: an epoch and, unless it was only told of a take-over, a copy.
 *
 * <p>Not thread-safe: guarded by its store.
 */
final class HeldCopy {
    /** Estimated memory of one copy beside its texts and token ids. */
    private static final int FIXED_BYTES = 640;

    private CopyEpoch epoch;
    private Optional<GenerationCopy> head;
    private int[] tokens = new int[0];
    private int size;
    private long headAtMs;
    private long touchedAtMs;

    private HeldCopy(CopyEpoch epoch, Optional<GenerationCopy> head, long nowMs) {
        this.epoch = epoch;
        this.head = head;
        touchedAtMs = nowMs;
    }

    /** Returns what is known of a request of which only the epoch was heard. */
    static HeldCopy epochOnly(CopyEpoch epoch, long nowMs) {
        return new HeldCopy(epoch, Optional.empty(), nowMs);
    }

    static HeldCopy of(GenerationCopy copy, long nowMs) {
        HeldCopy held = new HeldCopy(copy.epoch(), Optional.empty(), nowMs);
        held.replace(copy, nowMs);
        return held;
    }

    CopyEpoch epoch() {
        return epoch;
    }

    int tokens() {
        return size;
    }

    long touchedAtMs() {
        return touchedAtMs;
    }

    void touch(long nowMs) {
        touchedAtMs = nowMs;
    }

    boolean present() {
        return head.isPresent();
    }

    boolean finished() {
        return head.flatMap(GenerationCopy::end).isPresent();
    }

    int generation() {
        return head.map(h -> h.generation().id().number()).orElse(0);
    }

    void raise(CopyEpoch to) {
        epoch = to;
        head = head.map(h -> h.withEpoch(to));
    }

    void replace(GenerationCopy copy, long nowMs) {
        epoch = copy.epoch();
        tokens = copy.tokens().toArray();
        size = tokens.length;
        headAtMs = nowMs;
        head = Optional.of(withoutTokens(copy));
    }

    /** Adds the tokens that are new; the first must not lie beyond the end of what is held. */
    void append(CopyCommand.Append a) {
        int known = Math.min(size - a.from(), a.tokens().length());
        int added = a.tokens().length() - known;
        if (size + added > tokens.length) {
            tokens = Arrays.copyOf(tokens, Math.max(size + added, tokens.length * 3 / 2));
        }
        for (int i = 0; i < added; i++) {
            tokens[size + i] = a.tokens().get(known + i);
        }
        size += added;
        head = head.map(h -> update(h, a));
    }

    Optional<GenerationCopy> copy(long nowMs) {
        ImmutableIntArray held = ImmutableIntArray.copyOf(Arrays.copyOf(tokens, size));
        return head.map(
                h ->
                        new GenerationCopy(
                                epoch,
                                h.spec(),
                                h.generation(),
                                h.placement(),
                                held,
                                h.end(),
                                h.ageMs() + Math.max(0, nowMs - headAtMs)));
    }

    CopySummary summary() {
        return new CopySummary(epoch, present(), generation(), size, finished());
    }

    long bytes() {
        long ints = tokens.length + head.map(h -> h.spec().prompt().length()).orElse(0);
        long chars = head.map(h -> h.spec().input().length()).orElse(0);
        return FIXED_BYTES + ints * Integer.BYTES + chars * Character.BYTES;
    }

    private static GenerationCopy update(GenerationCopy h, CopyCommand.Append a) {
        return new GenerationCopy(
                h.epoch(),
                h.spec(),
                h.generation(),
                a.placement().filter(p -> isNewer(p, h)).or(h::placement),
                h.tokens(),
                h.end().or(a::end),
                h.ageMs());
    }

    private static boolean isNewer(Placement p, GenerationCopy h) {
        return h.placement().map(q -> p.attempt().number() > q.attempt().number()).orElse(true);
    }

    private static GenerationCopy withoutTokens(GenerationCopy c) {
        return new GenerationCopy(
                c.epoch(),
                c.spec(),
                c.generation(),
                c.placement(),
                ImmutableIntArray.of(),
                c.end(),
                c.ageMs());
    }
}
