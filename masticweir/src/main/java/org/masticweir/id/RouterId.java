package org.masticweir.id;

/** Names one router instance for the length of its life. */
public record RouterId(String value) {
    public RouterId {
        Ids.checkName("router id", value);
    }

    public static RouterId of(String value) {
        return new RouterId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
