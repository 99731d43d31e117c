package org.masticweir.router;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticweir.config.BackEndKind;
import org.masticweir.config.Deployment;
import org.masticweir.config.EngineGroup;
import org.masticweir.config.Model;
import org.masticweir.control.EngineHoldings;
import org.masticweir.control.EngineRole;
import org.masticweir.control.ModelVersion;
import org.masticweir.engine.BackEnd;
import org.masticweir.engine.Vendor;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpOutcome;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;
import org.masticweir.routing.CacheTrust;
import org.masticweir.serving.EngineTraffic;
import org.masticweir.store.InstanceKind;
import org.masticweir.store.InstanceRecord;
import org.masticweir.time.Clock;

/**
 * Keeps what back ends report of themselves; owned by the control thread, calls do not block it.
 */
final class EnginePoller {
    private static final Logger LOG = LogManager.getLogger(EnginePoller.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Cache events are asked for at one state poll in so many; they come late anyway. */
    private static final int CACHE_POLL_EVERY = 4;

    private final HttpCaller calls;
    private final Executor control;
    private final Clock clock;
    private final DomainId domain;
    private final long timeoutMs;
    private final EngineWatch watch;
    private final DomainDelays delays;
    private final CacheTrust caches = CacheTrust.create();
    private final Map<EngineId, EngineRecord> records = new HashMap<>();
    private final Set<EngineId> asked = new HashSet<>();
    private BiConsumer<EngineRecord, Boolean> onRead = (record, answered) -> {};
    private int polls;

    EnginePoller(
            HttpCaller calls,
            Executor control,
            Clock clock,
            DomainId domain,
            EngineTraffic traffic,
            long timeoutMs) {
        this.calls = checkNotNull(calls, "calls");
        this.control = checkNotNull(control, "control");
        this.clock = checkNotNull(clock, "clock");
        this.domain = checkNotNull(domain, "domain");
        this.timeoutMs = timeoutMs;
        watch = new EngineWatch(traffic, clock.nowMs());
        delays = new DomainDelays(domain);
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
        caches.retain(present);
        watch.watch(records);
    }

    /** Takes what traffic threads saw of the engines. */
    void takeTraffic() {
        watch.takeTraffic(records, clock.nowMs());
    }

    /**
     * Asks back ends of the declared groups for their load and what they hold.
     *
     * @param reads tells which of them this router asks itself
     */
    void poll(Deployment deployment, Predicate<EngineRecord> reads) {
        watch.watch(records);
        polls++;
        for (EngineRecord record : ImmutableList.copyOf(records.values())) {
            Optional<EngineGroup> group = deployment.group(record.backEnd().group());
            if (group.isEmpty()) {
                continue;
            }
            boolean engine = kindOf(deployment, group.get()) == BackEndKind.ENGINE;
            if (!engine) {
                record.holds(declared(deployment, group.get()));
            }
            if (reads.test(record) && asked.add(record.backEnd().id())) {
                askState(record, group.get().vendor());
                if (engine) {
                    askHoldings(record);
                    askCacheEvents(record);
                }
            }
        }
    }

    Optional<EngineRecord> record(EngineId id) {
        return Optional.ofNullable(records.get(id));
    }

    /** Has {@code listener} told of each end of a read, with whether the engine answered. */
    void onRead(BiConsumer<EngineRecord, Boolean> listener) {
        onRead = checkNotNull(listener, "listener");
    }

    Collection<EngineRecord> records() {
        return records.values();
    }

    EngineWatch watch() {
        return watch;
    }

    DomainDelays delays() {
        return delays;
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

    private static EngineHoldings declared(Deployment deployment, EngineGroup group) {
        Set<ModelVersion> models = new HashSet<>();
        for (ModelId id : group.models()) {
            deployment
                    .model(id)
                    .ifPresent(m -> models.add(ModelVersion.of(id, m.version(), m.adapter())));
        }
        return EngineHoldings.of(models, EngineRole.SERVING);
    }

    private void askState(EngineRecord record, Vendor vendor) {
        HttpCall call = HttpCall.get(record.backEnd().address(), "/v1/state");
        long askedAtMs = clock.nowMs();
        calls.call(call, timeoutMs)
                .thenAcceptAsync(outcome -> onState(record, vendor, outcome, askedAtMs), control);
    }

    private void onState(EngineRecord record, Vendor vendor, HttpOutcome outcome, long askedAtMs) {
        long nowMs = clock.nowMs();
        asked.remove(record.backEnd().id());
        Optional<JsonNode> json = jsonOf(outcome);
        json.ifPresent(
                j -> {
                    record.reported(vendor.loadOf(j), nowMs);
                    delays.answered(record.backEnd().domain(), nowMs - askedAtMs, nowMs);
                });
        if (!outcome.isWithheld()) {
            watch.polled(record.backEnd().id(), json.isPresent(), nowMs);
        }
        onRead.accept(record, json.isPresent());
    }

    /** Only local engines are asked: no other domain's cache decides where a prompt goes. */
    private void askCacheEvents(EngineRecord record) {
        EngineId id = record.backEnd().id();
        if (polls % CACHE_POLL_EVERY != 0 || !record.backEnd().domain().equals(domain)) {
            return;
        }
        String path = "/v1/cache-events?since=" + caches.nextSeq(id);
        calls.call(HttpCall.get(record.backEnd().address(), path), timeoutMs)
                .thenAcceptAsync(outcome -> onCacheEvents(record, jsonOf(outcome)), control);
    }

    private void onCacheEvents(EngineRecord record, Optional<JsonNode> json) {
        EngineId id = record.backEnd().id();
        long nowMs = clock.nowMs();
        if (records.containsKey(id)) {
            json.map(CacheEventsAnswer::of)
                    .ifPresent(a -> caches.polled(id, a.next(), a.events(), nowMs));
            record.caches(caches.hints(id, nowMs));
        }
    }

    private void askHoldings(EngineRecord record) {
        HttpCall call = HttpCall.get(record.backEnd().address(), "/v1/orders");
        calls.call(call, timeoutMs)
                .thenAcceptAsync(
                        outcome -> jsonOf(outcome).ifPresent(j -> onHoldings(record, j)), control);
    }

    private static void onHoldings(EngineRecord record, JsonNode json) {
        try {
            record.holds(EngineHoldings.decode(json));
        } catch (IllegalArgumentException e) {
            LOG.warn("routing: engine {} reports badly, {}", record.backEnd().id(), e.getMessage());
        }
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
