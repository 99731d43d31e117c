package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Deployment;
import org.masticweir.config.EngineGroup;
import org.masticweir.config.Model;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.Vendor;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.platform.InstanceKind;
import org.masticweir.platform.InstanceRecord;
import org.masticweir.time.Clock;

/**
 * Keeps what back ends report of themselves; owned by the control thread, calls do not block it.
 */
final class EnginePoller {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpCaller calls;
    private final Executor control;
    private final Clock clock;
    private final long timeoutMs;
    private final Map<EngineId, EngineRecord> records = new HashMap<>();
    private final Set<EngineId> asked = new HashSet<>();

    EnginePoller(HttpCaller calls, Executor control, Clock clock, long timeoutMs) {
        this.calls = checkNotNull(calls, "calls");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.timeoutMs = timeoutMs;
    }

    /** Takes the instance list as it stands now. */
    void listed(List<InstanceRecord> instances) {
        Set<EngineId> present = new HashSet<>();
        for (InstanceRecord instance : instances) {
            if (instance.kind() != InstanceKind.ROUTER) {
                BackEnd backEnd = backEndOf(instance);
                present.add(backEnd.id());
                records.computeIfAbsent(backEnd.id(), id -> new EngineRecord(backEnd))
                        .listedAs(backEnd);
            }
        }
        records.keySet().retainAll(present);
    }

    /** Asks every back end of a declared group for its load and what it holds. */
    void poll(Deployment deployment) {
        for (EngineRecord record : ImmutableList.copyOf(records.values())) {
            Optional<EngineGroup> group = deployment.group(record.backEnd().group());
            if (group.isPresent() && asked.add(record.backEnd().id())) {
                askState(record, group.get().vendor());
                if (kindOf(deployment, group.get()) == BackEndKind.ENGINE) {
                    askHoldings(record);
                } else {
                    record.holds(declared(deployment, group.get()), false);
                }
            }
        }
    }

    Collection<EngineRecord> records() {
        return records.values();
    }

    private static BackEnd backEndOf(InstanceRecord instance) {
        return new BackEnd(
                EngineId.of(instance.id()),
                instance.address(),
                instance.domain(),
                instance.group(),
                instance.leaving());
    }

    private static BackEndKind kindOf(Deployment deployment, EngineGroup group) {
        return group.models().stream()
                .flatMap(m -> deployment.model(m).stream())
                .map(Model::kind)
                .findFirst()
                .orElse(BackEndKind.ENGINE);
    }

    private static Map<ModelId, String> declared(Deployment deployment, EngineGroup group) {
        Map<ModelId, String> versions = new HashMap<>();
        for (ModelId id : group.models()) {
            deployment.model(id).ifPresent(m -> versions.put(id, m.version()));
        }
        return versions;
    }

    private void askState(EngineRecord record, Vendor vendor) {
        HttpCall call = HttpCall.get(record.backEnd().address(), "/v1/state");
        calls.call(call, timeoutMs)
                .thenAcceptAsync(outcome -> onState(record, vendor, outcome), control);
    }

    private void onState(EngineRecord record, Vendor vendor, HttpOutcome outcome) {
        asked.remove(record.backEnd().id());
        Optional<JsonNode> json = jsonOf(outcome);
        if (json.isPresent()) {
            record.reported(vendor.loadOf(json.get()), clock.nowMs());
        } else {
            record.failed();
        }
    }

    private void askHoldings(EngineRecord record) {
        HttpCall call = HttpCall.get(record.backEnd().address(), "/v1/orders");
        calls.call(call, timeoutMs)
                .thenAcceptAsync(
                        outcome -> jsonOf(outcome).ifPresent(j -> onHoldings(record, j)), control);
    }

    private static void onHoldings(EngineRecord record, JsonNode json) {
        ImmutableMap.Builder<ModelId, String> versions = ImmutableMap.builder();
        for (JsonNode model : json.path("models")) {
            versions.put(ModelId.of(model.path("model").asText()), model.path("version").asText());
        }
        boolean leaving = json.path("role").asText().equals("leaving");
        record.holds(versions.buildKeepingLast(), leaving);
    }

    private static Optional<JsonNode> jsonOf(HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.answer().isSuccess()) {
            try {
                return Optional.of(MAPPER.readTree(answered.answer().text()));
            } catch (JsonProcessingException e) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }
}
