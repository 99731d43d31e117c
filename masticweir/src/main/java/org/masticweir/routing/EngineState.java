package org.masticweir.routing;

/** Whether an engine may be given new work. */
public enum EngineState {
    /** Serves and takes new work. */
    LIVE(true),
    /** Failed lately or fell silent; what runs there goes on, nothing new goes there. */
    SUSPECT(false),
    /** Answers, but much slower than its peers. */
    EJECTED(false),
    /** Finishes what it runs and goes away. */
    LEAVING(false);

    private final boolean takesNewWork;

    EngineState(boolean takesNewWork) {
        this.takesNewWork = takesNewWork;
    }

    public boolean takesNewWork() {
        return takesNewWork;
    }
}
