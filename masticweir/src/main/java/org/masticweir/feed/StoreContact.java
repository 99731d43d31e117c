package org.masticweir.feed;

/** What a router says of its own reading of the store. */
public enum StoreContact {
    /** It relies on what others read. */
    NOT_READING,

    /** It reads, and the store has answered in time. */
    HEARD,

    /** It reads, and the store does not answer it. */
    LOST;

    /** Returns the contact of {@code ordinal}; one that is not known says nothing of the store. */
    public static StoreContact ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < values().length ? values()[ordinal] : NOT_READING;
    }
}
