package org.masticweir.id;

/**
 * Names what a request asks for: a digest of its caller's team, its path and its body. Each
 * submission of the same work has its own request id and the same content.
 */
public record ContentId(String value) {
    public ContentId {
        Ids.checkToken("content id", value);
    }

    public static ContentId of(String value) {
        return new ContentId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
