package org.masticweir.id;

/** Names the part of a prompt that belongs to one request, or to its session, alone. */
public record PromptId(String value) {
    public PromptId {
        Ids.checkToken("prompt id", value);
    }

    public static PromptId of(String value) {
        return new PromptId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
