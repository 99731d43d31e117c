package org.masticweir.operators;

import static com.google.common.base.Preconditions.checkNotNull;

import org.masticweir.serving.Intake;
import org.masticweir.serving.ServingView;

/** Where a router is in its life. */
public enum RouterState {
    /** Has no configuration yet, or knows no back end. */
    STARTING,
    /** Takes requests. */
    SERVING,
    /** Finishes what it has and takes nothing new. */
    DRAINING;

    /** Returns the state of a router whose traffic threads see {@code view}. */
    public static RouterState of(ServingView view) {
        checkNotNull(view, "view");
        if (view.intake() != Intake.OPEN) {
            return DRAINING;
        }
        return view.ready() ? SERVING : STARTING;
    }
}
