package org.masticweir.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.masticweir.id.DomainId;
import org.masticweir.id.EngineId;
import org.masticweir.id.ModelId;

/**
 * All engines that a router knows, by model, as of one moment.
 *
 * <p>Immutable and thread-safe: the control thread builds one after each change and publishes it;
 * traffic threads keep the one they read for the length of a choice.
 */
public final class RoutingSnapshot {
    private static final RoutingSnapshot EMPTY = builder(DomainId.of("none"), 0).build();

    private final DomainId domain;
    private final long builtAtMs;
    private final ImmutableMap<DomainId, Long> extraDelayMs;
    private final ImmutableListMultimap<ModelId, EngineView> engines;
    private final ImmutableMap<ModelVersion, Candidates> candidates;

    private RoutingSnapshot(Builder b) {
        domain = b.domain;
        builtAtMs = b.builtAtMs;
        extraDelayMs = ImmutableMap.copyOf(b.delays);
        engines = b.engines.build();
        ImmutableListMultimap.Builder<ModelVersion, EngineView> byVersion =
                ImmutableListMultimap.builder();
        engines.values().forEach(e -> byVersion.put(ModelVersion.of(e), e));
        ImmutableMap.Builder<ModelVersion, Candidates> built = ImmutableMap.builder();
        byVersion
                .build()
                .asMap()
                .forEach((k, views) -> built.put(k, Candidates.of(views, domain, extraDelayMs)));
        candidates = built.buildOrThrow();
    }

    /** Returns a builder for the snapshot of a router in {@code domain}. */
    public static Builder builder(DomainId domain, long builtAtMs) {
        return new Builder(domain, builtAtMs);
    }

    /** Returns the snapshot of a router that knows no engine yet. */
    public static RoutingSnapshot empty() {
        return EMPTY;
    }

    /** Returns the engines of {@code model}, in whatever state; empty for an unknown model. */
    public ImmutableList<EngineView> engines(ModelId model) {
        return engines.get(checkNotNull(model, "model"));
    }

    /** Returns the engine of this id, for one of the models that it serves. */
    public Optional<EngineView> engine(EngineId id) {
        checkNotNull(id, "id");
        return engines.values().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    /** Returns every engine once for each model that it serves. */
    public ImmutableListMultimap<ModelId, EngineView> enginesByModel() {
        return engines;
    }

    /** Returns the engines that may take new work of a model's version, local ones first. */
    public ImmutableList<EngineView> available(ModelId model, String version) {
        return candidates(model, version).all();
    }

    public DomainId domain() {
        return domain;
    }

    public long builtAtMs() {
        return builtAtMs;
    }

    Candidates candidates(ModelId model, String version) {
        return candidates.getOrDefault(new ModelVersion(model, version), Candidates.NONE);
    }

    private record ModelVersion(ModelId model, String version) {
        static ModelVersion of(EngineView e) {
            return new ModelVersion(e.model(), e.version());
        }
    }

    /** Collects what a snapshot holds; owned by the control thread, not thread-safe. */
    public static final class Builder {
        private final DomainId domain;
        private final long builtAtMs;
        private final Map<DomainId, Long> delays = new HashMap<>();
        private final ImmutableListMultimap.Builder<ModelId, EngineView> engines =
                ImmutableListMultimap.builder();

        private Builder(DomainId domain, long builtAtMs) {
            this.domain = checkNotNull(domain, "domain");
            this.builtAtMs = builtAtMs;
        }

        /** Adds one engine for one of its models. */
        @CanIgnoreReturnValue
        public Builder add(EngineView engine) {
            checkNotNull(engine, "engine");
            engines.put(engine.model(), engine);
            return this;
        }

        /**
         * Sets the measured delay that a call into {@code other} costs beyond a local one.
         *
         * <p>A domain without a measured delay is taken for unreachable and gets no work.
         */
        @CanIgnoreReturnValue
        public Builder extraDelay(DomainId other, long ms) {
            checkNotNull(other, "other");
            checkArgument(ms >= 0, "extra delay %s ms", ms);
            delays.put(other, ms);
            return this;
        }

        public RoutingSnapshot build() {
            return new RoutingSnapshot(this);
        }
    }
}
