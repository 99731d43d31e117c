package org.masticweir.bench.experiment;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import java.util.List;

/**
 * One fault of a schedule.
 *
 * @param atMs from the start of the load
 * @param target id of an engine, name of a proxy's route, or {@code platform}
 * @param forMs how long it lasts; 0 for a kill, which lasts
 * @param factor how many times slower an engine gets; for that kind only
 */
record Fault(long atMs, FaultKind kind, String target, long forMs, double factor) {
    private static final int LEAST_PARTS = 3;
    private static final int MOST_PARTS = 5;

    Fault {
        checkArgument(atMs >= 0, "fault at %s ms", atMs);
        checkNotNull(kind, "kind");
        checkNotNull(target, "target");
        checkArgument(forMs > 0 || kind == FaultKind.KILL, "%s of %s for no time", kind, target);
        checkArgument(factor >= 1 || kind != FaultKind.SLOW, "slow by a factor of %s", factor);
    }

    /** Reads {@code at_ms,kind,target[,for_ms[,factor]]}. */
    static Fault parse(String text) {
        List<String> parts = Splitter.on(',').splitToList(text);
        checkArgument(
                parts.size() >= LEAST_PARTS && parts.size() <= MOST_PARTS,
                "%s is not at_ms,kind,target[,for_ms[,factor]]",
                text);
        return new Fault(
                Long.parseLong(parts.get(0)),
                FaultKind.valueOf(Ascii.toUpperCase(parts.get(1))),
                parts.get(2),
                parts.size() > 3 ? Long.parseLong(parts.get(3)) : 0,
                parts.size() > 4 ? Double.parseDouble(parts.get(4)) : 0);
    }
}
