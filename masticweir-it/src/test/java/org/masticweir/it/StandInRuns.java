package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects what engines and services ran, over the death of engines; thread-safe, blocks.
 *
 * <p>An engine's records die with it, so that its death is caused here: its link is held first, so
 * that nothing new arrives, then its records are read until they stand still, then it is killed.
 */
final class StandInRuns {
    private static final long STILL_MS = 60;
    private static final int TRIES = 20;

    /**
     * One run of one request, on an engine or a service; generation and seed 0 for a service.
     *
     * @param atMs when the back end took it, on the clock that all processes of the machine share
     */
    record Run(
            String backEnd,
            String request,
            int generation,
            int attempt,
            long seed,
            int first,
            long atMs) {
        Run {
            checkNotNull(backEnd, "backEnd");
            checkNotNull(request, "request");
        }
    }

    private final FaultFleet fleet;
    private final Map<String, List<Run>> ofDead = new LinkedHashMap<>();

    StandInRuns(FaultFleet fleet) {
        this.fleet = checkNotNull(fleet, "fleet");
    }

    /** Kills {@code engine} and keeps its records. */
    void kill(BackEndProcess engine) {
        fleet.proxy().set(engine.id(), "stall");
        ImmutableList<Run> runs = standingStill(engine);
        engine.process().kill();
        synchronized (this) {
            ofDead.computeIfAbsent(engine.id(), id -> new ArrayList<>()).addAll(runs);
        }
        fleet.proxy().set(engine.id(), "pass");
    }

    /** Returns every run so far, on back ends that live or have died. */
    ImmutableList<Run> all() {
        ImmutableList.Builder<Run> all = ImmutableList.builder();
        fleet.engines().stream()
                .filter(e -> e.process().alive())
                .map(this::read)
                .forEach(all::addAll);
        fleet.services().stream().map(this::read).forEach(all::addAll);
        synchronized (this) {
            ofDead.values().forEach(all::addAll);
        }
        return all.build();
    }

    /** Returns the runs on the process that now is {@code backEnd}. */
    ImmutableList<Run> read(BackEndProcess backEnd) {
        for (int i = 0; i < TRIES; i++) {
            JsonNode records = fleet.control().records(backEnd.address());
            if (records.has("generations") || records.has("calls")) {
                return parse(backEnd.id(), records);
            }
        }
        throw new AssertionError("no records of " + backEnd);
    }

    private ImmutableList<Run> standingStill(BackEndProcess engine) {
        ImmutableList<Run> before = read(engine);
        for (int i = 0; i < TRIES; i++) {
            Await.elapse(STILL_MS);
            ImmutableList<Run> now = read(engine);
            if (now.equals(before)) {
                return now;
            }
            before = now;
        }
        throw new AssertionError("records of " + engine + " do not stand still");
    }

    private static ImmutableList<Run> parse(String backEnd, JsonNode records) {
        ImmutableList.Builder<Run> runs = ImmutableList.builder();
        for (JsonNode node : records.path("generations")) {
            runs.add(
                    new Run(
                            backEnd,
                            node.path("request").asText(),
                            node.path("generation").asInt(),
                            node.path("attempt").asInt(),
                            node.path("seed").asLong(),
                            node.path("first").asInt(),
                            node.path("at_ms").asLong()));
        }
        for (JsonNode node : records.path("calls")) {
            runs.add(
                    new Run(
                            backEnd,
                            node.path("request").asText(),
                            0,
                            0,
                            0,
                            0,
                            node.path("at_ms").asLong()));
        }
        return runs.build();
    }
}
