package org.masticweir.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Map;
import java.util.Optional;
import org.masticweir.config.Deployment;
import org.masticweir.config.DeploymentDiff;
import org.masticweir.config.DeploymentDocument;

/**
 * The configuration that a router holds, or none yet.
 *
 * @param revision 0 when the router holds none
 */
record RouterConfig(long revision, String document) {
    private static final int NOT_FOUND = 404;

    RouterConfig {
        checkNotNull(document, "document");
    }

    /** Returns the configuration in the answer to {@code GET /v1/config}; empty if it failed. */
    static Optional<RouterConfig> of(CallResult result) {
        if (result.ok()) {
            return Json.read(result.text(), OperatorMessages.Config.class)
                    .map(c -> new RouterConfig(c.revision(), c.document()));
        }
        boolean none =
                result.status() == NOT_FOUND
                        || Json.read(result.text(), OperatorMessages.Failure.class)
                                .filter(f -> "NO_CONFIGURATION".equals(f.code()))
                                .isPresent();
        return none ? Optional.of(new RouterConfig(0, "")) : Optional.empty();
    }

    /** Returns what {@code next} would change. */
    DeploymentDiff diffTo(Deployment next) {
        Deployment held =
                revision == 0
                        ? new Deployment(1, Map.of(), Map.of(), Map.of(), Map.of())
                        : DeploymentDocument.parse("revision " + revision, document, revision);
        return DeploymentDiff.between(held, next);
    }
}
