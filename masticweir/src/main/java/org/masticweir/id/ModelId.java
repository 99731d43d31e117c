package org.masticweir.id;

/** Names a model or a plain service that requests are addressed to. */
public record ModelId(String value) {
    public ModelId {
        Ids.checkToken("model id", value);
    }

    public static ModelId of(String value) {
        return new ModelId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
