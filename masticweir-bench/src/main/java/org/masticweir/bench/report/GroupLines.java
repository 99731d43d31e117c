package org.masticweir.bench.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Compares the classes and teams of an experiment's settings, a line for each; immutable. */
final class GroupLines {
    private final ImmutableList<RunResult> runs;

    private GroupLines(List<RunResult> runs) {
        this.runs = ImmutableList.copyOf(runs);
    }

    static GroupLines of(List<RunResult> runs) {
        return new GroupLines(checkNotNull(runs, "runs"));
    }

    /** Returns a line for each class, then one for each team. */
    ImmutableList<String> all() {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        for (String name :
                names(r -> r.load().classes().stream().map(ClassResult::name).toList())) {
            lines.add(
                    "class "
                            + name
                            + ": in target "
                            + spreads(r -> inTarget(ofClass(r, name)))
                            + "; first token p99 ms "
                            + spreads(r -> ofClass(r, name).firstToken().p99Ms())
                            + "; refused "
                            + spreads(r -> ofClass(r, name).refusedCalls())
                            + "; sent "
                            + spreads(r -> ofClass(r, name).sent()));
        }
        for (String name : names(r -> r.load().teams().stream().map(TeamResult::name).toList())) {
            lines.add(
                    "team "
                            + name
                            + ": in target "
                            + spreads(r -> inTarget(ofTeam(r, name)))
                            + "; sent "
                            + spreads(r -> ofTeam(r, name).sent()));
        }
        return lines.build();
    }

    private List<String> names(Function<RunResult, List<String>> of) {
        return runs.stream().flatMap(r -> of.apply(r).stream()).distinct().toList();
    }

    private String spreads(ToDoubleFunction<RunResult> value) {
        return String.join(
                ", ",
                runs.stream()
                        .map(RunResult::setting)
                        .distinct()
                        .map(s -> s + " " + spread(s, value))
                        .toList());
    }

    private Spread spread(String setting, ToDoubleFunction<RunResult> value) {
        return Spread.of(
                runs.stream()
                        .filter(r -> r.setting().equals(setting))
                        .map(value::applyAsDouble)
                        .toList());
    }

    private static ClassResult ofClass(RunResult run, String name) {
        return run.load().classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static TeamResult ofTeam(RunResult run, String name) {
        return run.load().teams().stream()
                .filter(t -> t.name().equals(name))
                .findFirst()
                .orElse(new TeamResult(name, 0, 0));
    }

    private static double inTarget(ClassResult c) {
        return c.sent() == 0 ? 1 : (double) c.withinTarget() / c.sent();
    }

    private static double inTarget(TeamResult t) {
        return t.sent() == 0 ? 1 : (double) t.withinTarget() / t.sent();
    }
}
