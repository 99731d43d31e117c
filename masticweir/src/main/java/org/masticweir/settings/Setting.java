package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * One row of the table of settings; immutable.
 *
 * @param standard text of the default; empty when the setting must be given
 * @param required whether the file must hold the key
 * @param doc one sentence for operators
 */
record Setting<T>(
        String section,
        String key,
        ValueRule<T> rule,
        String standard,
        boolean required,
        String doc) {
    Setting {
        checkNotNull(section, "section");
        checkNotNull(key, "key");
        checkNotNull(rule, "rule");
        checkNotNull(standard, "standard");
        checkNotNull(doc, "doc");
    }

    static <T> Setting<T> required(String section, String key, ValueRule<T> rule, String doc) {
        return new Setting<>(section, key, rule, "", true, doc);
    }

    static <T> Setting<T> optional(
            String section, String key, ValueRule<T> rule, String standard, String doc) {
        return new Setting<>(section, key, rule, standard, false, doc);
    }

    /** Returns the default, or empty when there is none. */
    Optional<T> standardValue() {
        return rule.parse(standard);
    }
}
