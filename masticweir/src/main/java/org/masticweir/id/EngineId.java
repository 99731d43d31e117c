package org.masticweir.id;

/** Names one back end: a model engine or a plain service instance. */
public record EngineId(String value) {
    public EngineId {
        Ids.checkName("engine id", value);
    }

    public static EngineId of(String value) {
        return new EngineId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
