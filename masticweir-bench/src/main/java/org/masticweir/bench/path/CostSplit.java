package org.masticweir.bench.path;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;

/**
 * Processor time of each token and of each request, by least squares over several loads; immutable.
 */
public record CostSplit(double usPerToken, double usPerRequest) {
    /** One load's rates and its processor time in us a second, less that of the router at rest. */
    record Load(double tokensPerS, double requestsPerS, double usPerS) {}

    /**
     * Splits the loads' cost; two of them must differ in tokens for each request. All of a single
     * load's cost counts for its tokens.
     */
    static CostSplit of(List<Load> loads) {
        checkNotNull(loads, "loads");
        if (loads.size() == 1) {
            return new CostSplit(loads.get(0).usPerS / loads.get(0).tokensPerS, 0);
        }
        double tt = loads.stream().mapToDouble(l -> l.tokensPerS * l.tokensPerS).sum();
        double rr = loads.stream().mapToDouble(l -> l.requestsPerS * l.requestsPerS).sum();
        double tr = loads.stream().mapToDouble(l -> l.tokensPerS * l.requestsPerS).sum();
        double tc = loads.stream().mapToDouble(l -> l.tokensPerS * l.usPerS).sum();
        double rc = loads.stream().mapToDouble(l -> l.requestsPerS * l.usPerS).sum();
        double determinant = tt * rr - tr * tr;
        checkArgument(determinant > tt * rr * 1e-9, "all loads have as many tokens a request");
        return new CostSplit((tc * rr - rc * tr) / determinant, (rc * tt - tc * tr) / determinant);
    }
}
