package org.masticweir.bench.slopes;

import static java.util.stream.Collectors.joining;

import java.util.List;
import java.util.Locale;

/** Writes fits as a table in Markdown. */
final class SlopeTable {
    private static final String HEAD =
            "| more of | cost | points (size: figure) | slope | intercept | residual |\n"
                    + "|---|---|---|---|---|---|\n";

    /** Below it a figure is written with an exponent. */
    private static final double SMALL = 0.01;

    private SlopeTable() {}

    /** Returns one row for each fit, in the order given. */
    static String of(List<CostFit> fits) {
        return HEAD + fits.stream().map(SlopeTable::row).collect(joining());
    }

    private static String row(CostFit fit) {
        String points =
                fit.points().stream()
                        .map(p -> number(p.x()) + ": " + number(p.y()))
                        .collect(joining(", "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s |%n",
                fit.sweep().word(),
                fit.cost().title(),
                points,
                number(fit.line().slope()),
                number(fit.line().intercept()),
                number(fit.line().residual()));
    }

    /** Three significant digits at least; whole numbers without a point. */
    private static String number(double d) {
        if (d == Math.rint(d)) {
            return String.format(Locale.ROOT, "%.0f", d);
        }
        double size = Math.abs(d);
        String format = size >= 1 ? "%.2f" : size >= SMALL ? "%.4f" : "%.2e";
        return String.format(Locale.ROOT, format, d);
    }
}
