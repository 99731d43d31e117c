package org.masticweir.serving;

import org.masticweir.generation.RequestSpec;

/** Finds how the configuration in force has a request served; thread-safe. */
@FunctionalInterface
interface ServiceFinder {
    /**
     * Returns the request's class and model.
     *
     * @throws org.masticweir.error.MasticweirException if one of them is not declared
     */
    RequestRun.Service serviceFor(RequestSpec spec);
}
