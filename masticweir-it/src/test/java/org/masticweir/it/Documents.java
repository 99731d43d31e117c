package org.masticweir.it;

/** Deployment documents that differ from the first one by one target, and so from each other. */
final class Documents {
    private static final String FIRST = "first_token_ms = 400";

    private Documents() {}

    /** Returns the document in which lookups have {@code ms} for their first token. */
    static String withLookupTarget(int ms) {
        return DeploymentText.ini().replace(FIRST, "first_token_ms = " + ms);
    }
}
