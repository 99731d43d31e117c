package org.masticweir.id;

/** Names a part of a prompt that the prompts of several requests may share. */
public record PromptPartId(String value) {
    public PromptPartId {
        Ids.checkToken("prompt part id", value);
    }

    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
