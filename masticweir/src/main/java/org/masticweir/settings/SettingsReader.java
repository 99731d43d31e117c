package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Reads rows of the settings table from one file; not thread-safe, used for one file. */
final class SettingsReader {
    private final Map<String, IniSection> sections = new LinkedHashMap<>();
    private final ProblemLog log;

    private SettingsReader(ProblemLog log) {
        this.log = checkNotNull(log, "log");
    }

    /** Returns what {@code build} makes of {@code text}, or every problem with it. */
    static <T> Checked<T> read(
            String source, String text, int maxChars, Function<SettingsReader, T> build) {
        ProblemLog log = ProblemLog.of(source);
        SettingsReader reader = new SettingsReader(log);
        Set<String> known =
                DaemonSetting.rows().stream()
                        .map(Setting::section)
                        .collect(Collectors.toCollection(LinkedHashSet::new));
        IniText ini = IniText.parse(text, maxChars, Integer.MAX_VALUE, log);
        ini.sections().forEach(section -> reader.take(section, known));
        T value = build.apply(reader);
        return log.result(() -> value);
    }

    /** Returns a reader of a file that leaves out all that may be left out. */
    static SettingsReader ofDefaults() {
        return new SettingsReader(ProblemLog.of("defaults"));
    }

    /** Returns the value in the file, else the default. */
    <T> T get(Setting<T> row) {
        if (row.required()) {
            return section(row).required(row.key(), row.rule());
        }
        return getOr(row, row.standardValue().orElseThrow());
    }

    /** Returns the value in the file, or {@code absent}. */
    <T> T getOr(Setting<T> row, T absent) {
        return section(row).optional(row.key(), row.rule(), absent);
    }

    /** Records a problem when {@code high} is below {@code low}. */
    void checkOrder(Setting<Integer> low, Setting<Integer> high) {
        Optional<Integer> least = settled(low);
        Optional<Integer> most = settled(high);
        if (least.isPresent() && most.isPresent() && most.get() < least.get()) {
            section(high).reject(high.key(), "at least " + low.key() + ", " + least.get());
        }
    }

    /** Records a problem when {@code high} is not above {@code factor} times {@code low}. */
    void checkAbove(Setting<Integer> low, int factor, Setting<Integer> high) {
        Optional<Integer> least = settled(low);
        Optional<Integer> most = settled(high);
        if (least.isPresent() && most.isPresent() && most.get() <= factor * least.get()) {
            String times = factor == 1 ? "" : factor + " times ";
            String text = "above " + times + low.key() + ", " + factor * least.get();
            section(high).reject(high.key(), text);
        }
    }

    /** Records a problem when the file holds one of two keys of a section without the other. */
    void checkTogether(Setting<?> one, Setting<?> other) {
        IniSection section = section(one);
        if (section.holds(one.key()) != section.holds(other.key())) {
            String lacking = section.holds(one.key()) ? other.key() : one.key();
            String present = section.holds(one.key()) ? one.key() : other.key();
            section.reject(present, "beside " + lacking + ", which is missing");
        }
    }

    private <T> Optional<T> settled(Setting<T> row) {
        return section(row).holds(row.key())
                ? section(row).valid(row.key(), row.rule())
                : row.standardValue();
    }

    private IniSection section(Setting<?> row) {
        return sections.computeIfAbsent(row.section(), name -> IniSection.empty(name, log));
    }

    private void take(IniSection section, Set<String> known) {
        if (!known.contains(section.name())) {
            log.add(section.name(), "", "", "the sections " + String.join(", ", known));
            return;
        }
        section.allowOnly(
                DaemonSetting.rows().stream()
                        .filter(row -> row.section().equals(section.name()))
                        .map(Setting::key)
                        .collect(Collectors.toUnmodifiableList()));
        sections.put(section.name(), section);
    }
}
