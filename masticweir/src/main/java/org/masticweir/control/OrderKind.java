package org.masticweir.control;

import com.google.common.base.Ascii;

/** The kinds of orders that engines take. */
public enum OrderKind {
    LOAD,
    UNLOAD,
    /** Back to serving. */
    ROLE,
    LEAVE;

    /** Returns the word that stands for this kind on the wire. */
    public String wireName() {
        return Ascii.toLowerCase(name());
    }

    /** Returns the kind that {@code word} stands for, or fails with an argument error. */
    static OrderKind ofWireName(String word) {
        return valueOf(Ascii.toUpperCase(word));
    }
}
