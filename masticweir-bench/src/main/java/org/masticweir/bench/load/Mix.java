package org.masticweir.bench.load;

import com.google.common.collect.ImmutableList;

/**
 * What the callers of one deployment ask for: classes, lengths, teams.
 *
 * <p>Names, targets and shares are those of the deployment's example configuration; lengths and
 * weights are assumptions, since the records give none.
 */
public enum Mix {
    /** Long savings reports, follow-up letters, lookups on the doorstep, booking confirmations. */
    SPAARSTRAAL {
        @Override
        ImmutableList<ClassProfile> classes() {
            return ImmutableList.of(
                    new ClassProfile(
                            "reports",
                            "report",
                            true,
                            20,
                            new LogNormalLength(600, 0.6, 4000),
                            4,
                            256,
                            new LogNormalLength(200, 0.5, 1000),
                            new LatencyTarget(2000, 600_000)),
                    new ClassProfile(
                            "letters",
                            "report",
                            false,
                            10,
                            new LogNormalLength(150, 0.4, 600),
                            3,
                            128,
                            new LogNormalLength(60, 0.4, 300),
                            new LatencyTarget(5000, 30_000)),
                    new ClassProfile(
                            "lookups",
                            "planning",
                            true,
                            50,
                            new LogNormalLength(16, 0.5, 100),
                            2,
                            64,
                            new LogNormalLength(12, 0.4, 60),
                            new LatencyTarget(300, 2000)),
                    new ClassProfile(
                            "confirmations",
                            "planning",
                            true,
                            20,
                            new LogNormalLength(40, 0.3, 160),
                            2,
                            64,
                            new LogNormalLength(20, 0.3, 80),
                            new LatencyTarget(500, 5000)));
        }

        @Override
        ImmutableList<TeamShare> teams() {
            return ImmutableList.of(
                    new TeamShare("advisers", 40),
                    new TeamShare("call-desk", 20),
                    new TeamShare("planning", 12),
                    new TeamShare("letters-office", 6),
                    new TeamShare("quality", 5),
                    new TeamShare("training", 4),
                    new TeamShare("field-north", 4),
                    new TeamShare("field-south", 4),
                    new TeamShare("partners", 3),
                    new TeamShare("research", 2));
        }
    },
    /** Dormancy reports that run for minutes, brief queries, ventilation advice. */
    TUBERCOLO {
        @Override
        ImmutableList<ClassProfile> classes() {
            return ImmutableList.of(
                    new ClassProfile(
                            "dormancy-reports",
                            "report",
                            true,
                            20,
                            new LogNormalLength(900, 0.7, 6000),
                            3,
                            384,
                            new LogNormalLength(400, 0.6, 2000),
                            new LatencyTarget(5000, 1_200_000)),
                    new ClassProfile(
                            "queries",
                            "dashboard",
                            true,
                            65,
                            new LogNormalLength(20, 0.5, 120),
                            2,
                            64,
                            new LogNormalLength(12, 0.4, 60),
                            new LatencyTarget(500, 8000)),
                    new ClassProfile(
                            "ventilation-advice",
                            "dashboard",
                            false,
                            15,
                            new LogNormalLength(60, 0.4, 240),
                            2,
                            96,
                            new LogNormalLength(40, 0.4, 160),
                            new LatencyTarget(2000, 20_000)));
        }

        @Override
        ImmutableList<TeamShare> teams() {
            return ImmutableList.of(
                    new TeamShare("agronomists", 36),
                    new TeamShare("store-managers", 24),
                    new TeamShare("cooperative-parma", 12),
                    new TeamShare("cooperative-piacenza", 8),
                    new TeamShare("cooperative-modena", 5),
                    new TeamShare("cooperative-ferrara", 4),
                    new TeamShare("growers", 4),
                    new TeamShare("support", 3),
                    new TeamShare("trials", 2),
                    new TeamShare("research", 2));
        }
    };

    /** Returns the classes of work. */
    abstract ImmutableList<ClassProfile> classes();

    /** Returns the teams, a few of them large. */
    abstract ImmutableList<TeamShare> teams();
}
