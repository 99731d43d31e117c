package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.masticweir.engine.Vendor;
import org.masticweir.id.ModelId;
import org.masticweir.id.TeamId;
import org.masticweir.id.WorkClassId;
import org.masticweir.settings.IniSection;
import org.masticweir.settings.ProblemLog;
import org.masticweir.settings.ValueRule;

/** Reads one document section by section; not thread-safe, used for one document. */
final class DeploymentReader {
    private static final int MAX_TARGET_MS = 86_400_000;
    private static final int MAX_SHARE = 1_000_000;
    private static final ValueRule<Integer> TARGET = ValueRule.integer("_ms", 1, MAX_TARGET_MS);
    private static final ValueRule<Integer> SHARE = ValueRule.integer("share", 1, MAX_SHARE);
    private static final ValueRule<ModelId> MODEL = ValueRule.id(ModelId::of);
    private static final ValueRule<List<ModelId>> MODELS = ValueRule.listOf(MODEL);
    private static final ValueRule<String> TOKEN = ValueRule.id(text -> ModelId.of(text).value());
    private static final ValueRule<String> SHA256 =
            ValueRule.text(
                    "the SHA-256 of the credential as 64 lower-case hex digits",
                    Pattern.compile("[0-9a-f]{64}"),
                    "0".repeat(64));

    private final ProblemLog log;
    private final Map<WorkClassId, WorkClass> classes = new LinkedHashMap<>();
    private final Map<TeamId, Team> teams = new LinkedHashMap<>();
    private final Map<ModelId, Model> models = new LinkedHashMap<>();
    private final Map<String, EngineGroup> groups = new LinkedHashMap<>();
    private final Map<ModelId, BackEndKind> declared = new HashMap<>();
    private final List<IniSection> groupSections = new ArrayList<>();
    private final Set<DocumentSection> kinds = EnumSet.noneOf(DocumentSection.class);

    DeploymentReader(ProblemLog log) {
        this.log = checkNotNull(log, "log");
    }

    /** Reads one section; a problem with it is recorded and the reading goes on. */
    void read(IniSection section) {
        Optional<DocumentSection> kind = DocumentSection.ofName(section.name());
        if (kind.isEmpty()) {
            log.add(section.name(), "", "", DocumentSection.forms());
            return;
        }
        kinds.add(kind.get());
        section.allowOnly(kind.get().keys());
        String name = section.name().substring(kind.get().prefix().length());
        kind.get().read(name, section, this);
    }

    void readClass(String name, IniSection section) {
        WorkClassId id = idOf(name, section, WorkClassId::of);
        int firstMs = section.required("first_token_ms", TARGET);
        int totalMs = section.required("total_ms", TARGET);
        Reliability reliability =
                section.required("reliability", ValueRule.enumOf(Reliability.class));
        RecoveryPreset recovery =
                section.required("recovery", ValueRule.enumOf(RecoveryPreset.class));
        section.checkOrder("first_token_ms", "total_ms", TARGET);
        if (log.isEmpty()) {
            classes.put(id, new WorkClass(id, firstMs, totalMs, reliability, recovery));
        }
    }

    void readTeam(String name, IniSection section) {
        TeamId id = idOf(name, section, TeamId::of);
        String credential = section.required("credential_sha256", SHA256);
        int share = section.required("share", SHARE);
        if (log.isEmpty()) {
            teams.put(id, new Team(id, credential, share));
        }
    }

    void readModel(String name, IniSection section) {
        ModelId id = idOf(name, section, ModelId::of);
        BackEndKind kind = section.required("kind", ValueRule.enumOf(BackEndKind.class));
        String version = section.required("version", TOKEN);
        String adapter = section.optional("adapter", TOKEN, "");
        declared.put(id, kind);
        if (log.isEmpty()) {
            models.put(id, new Model(id, kind, version, adapter));
        }
    }

    void readGroup(String name, IniSection section) {
        String id = idOf(name, section, text -> ModelId.of(text).value());
        Vendor vendor = section.required("vendor", ValueRule.enumOf(Vendor.class));
        boolean fencing = section.required("checks_fencing", ValueRule.bool());
        List<ModelId> served = section.required("models", MODELS);
        groupSections.add(section);
        if (log.isEmpty()) {
            groups.put(id, new EngineGroup(id, vendor, fencing, ImmutableSet.copyOf(served)));
        }
    }

    /** Checks what only the whole document shows: references, and that no kind is left out. */
    void checkWhole() {
        for (IniSection section : groupSections) {
            section.valid("models", MODELS).ifPresent(served -> checkServed(section, served));
        }
        for (DocumentSection kind : DocumentSection.values()) {
            if (!kinds.contains(kind)) {
                log.add("", "[" + kind.prefix() + "NAME]", "", "at least one such section");
            }
        }
    }

    Deployment deployment(long revision) {
        return new Deployment(revision, classes, teams, models, groups);
    }

    private <T> T idOf(String name, IniSection section, Function<String, T> factory) {
        ValueRule<T> rule = ValueRule.id(factory);
        return rule.parse(name)
                .orElseGet(
                        () -> {
                            log.add(section.name(), "", "", "a name of " + rule.allowed());
                            return factory.apply("a");
                        });
    }

    private void checkServed(IniSection section, List<ModelId> served) {
        if (!declared.keySet().containsAll(served)) {
            section.reject("models", "names of [model.NAME] sections");
        } else if (served.stream().map(declared::get).distinct().count() > 1) {
            section.reject("models", "models of one kind, all engine or all service");
        }
    }
}
