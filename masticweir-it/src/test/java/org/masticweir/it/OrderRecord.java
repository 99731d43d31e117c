package org.masticweir.it;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

/**
 * An order as an engine recorded it; immutable.
 *
 * @param kind as on the wire, such as {@code load}
 * @param applied whether the engine accepted it
 * @param changed whether something holds since then that did not before
 * @param atMs wall time at the engine
 */
record OrderRecord(
        String engine,
        long fencing,
        String kind,
        String version,
        boolean applied,
        boolean changed,
        long atMs) {
    /** Returns the orders in the records of {@code engine}, first come first. */
    static ImmutableList<OrderRecord> of(BackEndProcess engine, JsonNode records) {
        ImmutableList.Builder<OrderRecord> orders = ImmutableList.builder();
        for (JsonNode node : records.path("orders")) {
            orders.add(
                    new OrderRecord(
                            engine.id(),
                            node.path("fencing").asLong(),
                            node.path("kind").asText(),
                            node.path("version").asText(),
                            node.path("applied").asBoolean(),
                            node.path("changed").asBoolean(),
                            node.path("at_ms").asLong()));
        }
        return orders.build();
    }

    boolean is(String wantedKind, int wantedVersion) {
        return kind.equals(wantedKind) && version.equals(Integer.toString(wantedVersion));
    }
}
