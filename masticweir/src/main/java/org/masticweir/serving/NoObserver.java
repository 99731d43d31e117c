package org.masticweir.serving;

import org.masticweir.error.MasticweirException;
import org.masticweir.generation.RequestSpec;

/** An observer that does nothing. */
enum NoObserver implements ServingObserver {
    INSTANCE;

    @Override
    public void firstToken(RequestSpec request, long ms) {}

    @Override
    public void tokenGap(RequestSpec request, long ms) {}

    @Override
    public void completed(RequestSpec request, long ms, int tokens) {}

    @Override
    public void failed(RequestSpec request, MasticweirException error, long ms) {}

    @Override
    public void resumed(RequestSpec request, long ms, boolean moved, int recomputed) {}
}
