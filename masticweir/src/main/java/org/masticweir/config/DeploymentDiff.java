package org.masticweir.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableTable;
import com.google.common.collect.Sets;
import com.google.common.collect.Table;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.masticweir.id.ModelId;

/** The differences between two deployments, whatever the order of their sections; immutable. */
public final class DeploymentDiff {
    private final List<DeploymentChange> changes;

    private DeploymentDiff(List<DeploymentChange> changes) {
        this.changes = ImmutableList.copyOf(changes);
    }

    /** Returns what changes on the way from {@code before} to {@code after}. */
    public static DeploymentDiff between(Deployment before, Deployment after) {
        Table<String, String, String> old = fields(checkNotNull(before, "before"));
        Table<String, String, String> now = fields(checkNotNull(after, "after"));
        ImmutableList.Builder<DeploymentChange> changes = ImmutableList.builder();
        for (String section : new TreeSet<>(Sets.union(old.rowKeySet(), now.rowKeySet()))) {
            Set<String> keys = Sets.union(old.row(section).keySet(), now.row(section).keySet());
            for (String key : keys) {
                String was = old.row(section).getOrDefault(key, "");
                String is = now.row(section).getOrDefault(key, "");
                if (!was.equals(is)) {
                    changes.add(change(section, key, was, is));
                }
            }
        }
        return new DeploymentDiff(changes.build());
    }

    public List<DeploymentChange> changes() {
        return changes;
    }

    /** Returns one line for each change, sections in alphabetical order. */
    public String text() {
        return changes.stream().map(DeploymentChange::line).collect(Collectors.joining("\n"));
    }

    private static DeploymentChange change(String section, String key, String was, String is) {
        DeploymentChange.Kind kind =
                was.isEmpty()
                        ? DeploymentChange.Kind.ADDED
                        : is.isEmpty()
                                ? DeploymentChange.Kind.REMOVED
                                : DeploymentChange.Kind.CHANGED;
        return new DeploymentChange(kind, section, key, was, is);
    }

    private static Table<String, String, String> fields(Deployment deployment) {
        Fields fields = new Fields();
        deployment.classes().values().forEach(fields::add);
        deployment.teams().values().forEach(fields::add);
        deployment.models().values().forEach(fields::add);
        deployment.groups().values().forEach(fields::add);
        return fields.table.build();
    }

    /** Lays a deployment's values out as section, key, text; empty values are left out. */
    private static final class Fields {
        private final ImmutableTable.Builder<String, String, String> table =
                ImmutableTable.builder();

        void add(WorkClass item) {
            String section = "class." + item.id();
            put(section, "first_token_ms", item.firstTokenMs());
            put(section, "total_ms", item.totalMs());
            put(section, "reliability", word(item.reliability()));
            put(section, "recovery", word(item.recovery()));
        }

        void add(Team item) {
            String section = "team." + item.id();
            put(section, "credential_sha256", item.credentialSha256());
            put(section, "share", item.share());
        }

        void add(Model item) {
            String section = "model." + item.id();
            put(section, "kind", word(item.kind()));
            put(section, "version", item.version());
            if (!item.adapter().isEmpty()) {
                put(section, "adapter", item.adapter());
            }
        }

        void add(EngineGroup item) {
            String section = "engines." + item.name();
            put(section, "vendor", word(item.vendor()));
            put(section, "checks_fencing", item.checksFencing());
            put(section, "models", models(item.models()));
        }

        private void put(String section, String key, Object value) {
            table.put(section, key, value.toString());
        }

        private static String word(Enum<?> constant) {
            return Ascii.toLowerCase(constant.name());
        }

        private static String models(Set<ModelId> models) {
            return models.stream().map(ModelId::value).sorted().collect(Collectors.joining(", "));
        }
    }
}
