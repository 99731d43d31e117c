package org.masticweir.membership;

/** Whether a back end may be given new work. */
public enum EngineState {
    LIVE(true),
    /** Unheard for a while; what runs on it is left to recovery. */
    SUSPECT(false),
    /** Some source says that it leaves; it finishes what it has. */
    LEAVING(false);

    private final boolean takesNew;

    EngineState(boolean takesNew) {
        this.takesNew = takesNew;
    }

    public boolean takesNew() {
        return takesNew;
    }
}
