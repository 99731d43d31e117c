package org.masticweir.settings;

/** The units that a key's name may end in. */
enum Unit {
    MILLISECONDS("_ms", " of milliseconds"),
    BYTES("_bytes", " of bytes"),
    BYTES_PER_SECOND("_bytes_per_s", " of bytes a second"),
    PERCENT("_percent", " of percent"),
    NONE("", "");

    private final String suffix;
    private final String words;

    Unit(String suffix, String words) {
        this.suffix = suffix;
        this.words = words;
    }

    static Unit ofKey(String key) {
        for (Unit unit : values()) {
            if (key.endsWith(unit.suffix)) {
                return unit;
            }
        }
        return NONE;
    }

    /** Returns the words that follow "a whole number". */
    String words() {
        return words;
    }
}
