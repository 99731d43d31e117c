package org.masticweir.store;

import com.google.common.base.Ascii;

/** What an instance of the list is. */
public enum InstanceKind {
    ENGINE,
    SERVICE,
    ROUTER;

    /** Returns the word that stands for this kind on the wire. */
    public String wireName() {
        return Ascii.toLowerCase(name());
    }

    /** Returns the kind that {@code word} stands for, or fails with an argument error. */
    public static InstanceKind ofWireName(String word) {
        return valueOf(Ascii.toUpperCase(word));
    }
}
