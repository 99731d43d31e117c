package org.masticweir.bench.path;

import com.google.common.collect.ImmutableList;

/** The points of one run and the split of the router's processor time that they make. */
public record PathResult(
        double restRouterMsPerS, ImmutableList<PathPoint> points, CostSplit split) {}
