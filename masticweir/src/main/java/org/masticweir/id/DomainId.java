package org.masticweir.id;

/** Names a failure domain. */
public record DomainId(String value) {
    public DomainId {
        Ids.checkName("failure domain id", value);
    }

    public static DomainId of(String value) {
        return new DomainId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
