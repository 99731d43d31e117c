package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What one load measured.
 *
 * @param longestGap longest wait between two tokens of each completed call
 * @param timeline output over time, in equal intervals
 */
public record LoadResult(
        String mix,
        double seconds,
        double ratePerS,
        long seed,
        List<ClassResult> classes,
        List<TeamResult> teams,
        ReturnCounts returns,
        TokenCheck tokens,
        LatencySummary longestGap,
        List<TimelinePoint> timeline) {
    public LoadResult {
        checkNotNull(mix, "mix");
        classes = ImmutableList.copyOf(classes);
        teams = ImmutableList.copyOf(teams);
        checkNotNull(returns, "returns");
        checkNotNull(tokens, "tokens");
        checkNotNull(longestGap, "longestGap");
        timeline = ImmutableList.copyOf(timeline);
    }

    /** Returns one line that tells the most important figures. */
    public String summaryLine() {
        StringBuilder line = new StringBuilder("load: ");
        line.append(mix)
                .append(' ')
                .append(ratePerS)
                .append("/s for ")
                .append(seconds)
                .append(" s");
        for (ClassResult c : classes) {
            line.append("; ").append(classSummary(c));
        }
        return line.append("; ").append(tokenSummary()).toString();
    }

    private static String classSummary(ClassResult c) {
        return String.format(
                "%s %d/%d done, %d in target, %d refused, %d failed, first token p50/p99 %d/%d ms",
                c.name(),
                c.completed(),
                c.sent(),
                c.withinTarget(),
                c.refusedCalls(),
                c.failedCalls(),
                c.firstToken().p50Ms(),
                c.firstToken().p99Ms());
    }

    private String tokenSummary() {
        return String.format(
                "tokens lost/repeated/mixed %d/%d/%d in %d calls checked, %d unchecked",
                tokens.lost(),
                tokens.repeated(),
                tokens.mixed(),
                tokens.checkedCalls(),
                tokens.uncheckedCalls());
    }
}
