package org.masticweir.bench.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * Calls that one team makes beside the others for a while.
 *
 * @param fromMs start, from the start of the load
 */
public record Burst(String team, String workClass, long fromMs, long forMs, double ratePerS) {
    private static final Splitter COMMAS = Splitter.on(',').trimResults();
    private static final int PARTS = 5;

    public Burst {
        checkNotNull(team, "team");
        checkNotNull(workClass, "workClass");
        checkArgument(fromMs >= 0 && forMs > 0, "from %s ms for %s ms", fromMs, forMs);
        checkArgument(ratePerS > 0, "rate %s a second", ratePerS);
    }

    /** Reads {@code team,class,from_ms,for_ms,rate}. */
    static Burst parse(String text) {
        List<String> parts = COMMAS.splitToList(text);
        checkArgument(parts.size() == PARTS, "not team,class,from_ms,for_ms,rate: %s", text);
        return new Burst(
                parts.get(0),
                parts.get(1),
                Long.parseLong(parts.get(2)),
                Long.parseLong(parts.get(3)),
                Double.parseDouble(parts.get(4)));
    }
}
