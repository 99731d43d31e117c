package org.masticweir.settings;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One fault in a settings file, told so that an operator can mend it without reading code.
 *
 * @param source name of the file or other origin of the text
 * @param section name of the section; empty when the fault is the file's
 * @param key name of the key; empty when the fault is the section's
 * @param value what stood there; empty when nothing did
 * @param allowed what may stand there
 */
public record Problem(String source, String section, String key, String value, String allowed) {
    private static final int MAX_SHOWN_CHARS = 80;

    public Problem {
        checkNotNull(source, "source");
        checkNotNull(section, "section");
        checkNotNull(key, "key");
        checkNotNull(value, "value");
        checkNotNull(allowed, "allowed");
    }

    /** Returns the sentence that a program prints: file, section, key, value, what is allowed. */
    public String sentence() {
        return source + ": " + place() + "; allowed: " + allowed + ".";
    }

    private String place() {
        if (section.isEmpty() && key.isEmpty()) {
            return "the text is not allowed" + (value.isEmpty() ? "" : " (" + shown() + ")");
        }
        if (key.isEmpty()) {
            return "section [" + section + "] is not allowed";
        }
        String name = section.isEmpty() ? key : "[" + section + "] " + key;
        return value.isEmpty() ? name + " is missing" : name + " = " + shown() + " is not allowed";
    }

    private String shown() {
        boolean whole = value.length() <= MAX_SHOWN_CHARS;
        return "\"" + (whole ? value : value.substring(0, MAX_SHOWN_CHARS) + "...") + "\"";
    }
}
