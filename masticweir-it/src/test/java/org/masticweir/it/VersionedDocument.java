package org.masticweir.it;

/** Deployment documents with a version of the report model, and engines that ignore fencing. */
final class VersionedDocument {
    /** The group of engines that take an order under any fencing number. */
    static final String IGNORING_ENGINES = "ignoring-engines";

    private static final String FIRST_VERSION = "kind = engine\nversion = 1";
    private static final String GROUP =
            "[engines.%s]\nvendor = counts\nchecks_fencing = false\nmodels = report\n";

    private VersionedDocument() {}

    /** Returns the document that declares {@code version} of the report model. */
    static String ini(int version) {
        return DeploymentText.ini().replace(FIRST_VERSION, "kind = engine\nversion = " + version)
                + String.format(GROUP, IGNORING_ENGINES);
    }
}
