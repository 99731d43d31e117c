package org.masticweir.id;

/** Names a class of work, such as reports or lookups. */
public record WorkClassId(String value) {
    public WorkClassId {
        Ids.checkToken("class id", value);
    }

    public static WorkClassId of(String value) {
        return new WorkClassId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
