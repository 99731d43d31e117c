package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** One section of an INI text, read key by key; problems go to the text's log; not thread-safe. */
public final class IniSection {
    private final String name;
    private final Map<String, String> values;
    private final ProblemLog log;

    private IniSection(String name, Map<String, String> values, ProblemLog log) {
        this.name = checkNotNull(name, "name");
        this.values = ImmutableMap.copyOf(values);
        this.log = checkNotNull(log, "log");
    }

    static IniSection of(ImmutableNode node, ProblemLog log) {
        Map<String, String> values = new LinkedHashMap<>();
        for (ImmutableNode child : node.getChildren()) {
            String value = child.getValue() == null ? "" : child.getValue().toString().trim();
            if (values.putIfAbsent(child.getNodeName(), value) != null) {
                log.add(node.getNodeName(), child.getNodeName(), value, "each key once");
            }
        }
        return new IniSection(node.getNodeName(), values, log);
    }

    /** Returns a section without keys, for one that the text leaves out. */
    static IniSection empty(String name, ProblemLog log) {
        return new IniSection(name, Map.of(), log);
    }

    public String name() {
        return name;
    }

    boolean holds(String key) {
        return values.containsKey(key);
    }

    /** Returns the value of a key that must stand in the section. */
    public <T> T required(String key, ValueRule<T> rule) {
        return read(key, rule).orElseGet(() -> missing(key, rule));
    }

    /** Returns the value of a key, or {@code absent} when the section does not hold it. */
    public <T> T optional(String key, ValueRule<T> rule, T absent) {
        return values.containsKey(key) ? required(key, rule) : absent;
    }

    /** Returns the value of a key if it is there and allowed; records nothing. */
    public <T> Optional<T> valid(String key, ValueRule<T> rule) {
        return rule.parse(values.getOrDefault(key, ""));
    }

    /** Records a problem when both keys hold allowed values and {@code high}'s is the lower. */
    public <T extends Comparable<T>> void checkOrder(String low, String high, ValueRule<T> rule) {
        Optional<T> least = valid(low, rule);
        Optional<T> most = valid(high, rule);
        if (least.isPresent() && most.isPresent() && most.get().compareTo(least.get()) < 0) {
            reject(high, "at least " + low + ", " + least.get());
        }
    }

    /** Records a problem unless every key of the section is one of {@code known}. */
    public void allowOnly(Collection<String> known) {
        Set<String> unknown = new TreeSet<>(values.keySet());
        unknown.removeAll(known);
        for (String key : unknown) {
            log.add(name, key, values.get(key), "the keys " + String.join(", ", known));
        }
    }

    /** Records a problem with the value of {@code key} that only the whole text shows. */
    public void reject(String key, String allowed) {
        log.add(name, key, values.getOrDefault(key, ""), allowed);
    }

    private <T> Optional<T> read(String key, ValueRule<T> rule) {
        String value = values.getOrDefault(key, "");
        if (value.isEmpty()) {
            return Optional.empty();
        }
        Optional<T> read = rule.parse(value);
        if (read.isEmpty()) {
            log.add(name, key, value, rule.allowed());
            return Optional.of(rule.example());
        }
        return read;
    }

    private <T> T missing(String key, ValueRule<T> rule) {
        log.add(name, key, "", rule.allowed());
        return rule.example();
    }
}
