package org.masticweir.settings;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Collects the rows of one table of settings in their order.
 *
 * <p>Not thread-safe: filled while the table's class is initialized, and only read after that.
 */
final class SettingRows {
    private static final Pattern FILE = Pattern.compile("\\S.*");

    private final List<Setting<?>> rows = new ArrayList<>();

    ImmutableList<Setting<?>> all() {
        return ImmutableList.copyOf(rows);
    }

    <T> Setting<T> add(Setting<T> row) {
        rows.add(row);
        return row;
    }

    Setting<InetSocketAddress> address(String section, String key, String doc) {
        return add(Setting.required(section, key, ValueRule.address(), doc));
    }

    Setting<String> file(String section, String key, String doc) {
        ValueRule<String> rule = ValueRule.text("the path of a file", FILE, "name.txt");
        return add(Setting.optional(section, key, rule, "", doc));
    }

    Setting<Integer> integer(
            String section, String key, int standard, int min, int max, String doc) {
        ValueRule<Integer> rule = ValueRule.integer(key, min, max);
        return add(Setting.optional(section, key, rule, Integer.toString(standard), doc));
    }

    /** Adds a switch that is on by default. */
    Setting<Boolean> onOff(String section, String key, String doc) {
        return add(Setting.optional(section, key, ValueRule.bool(), "true", doc));
    }

    <E extends Enum<E>> Setting<E> choice(
            String section, String key, Class<E> type, E standard, String doc) {
        String word = Ascii.toLowerCase(standard.name());
        return add(Setting.optional(section, key, ValueRule.enumOf(type), word, doc));
    }
}
