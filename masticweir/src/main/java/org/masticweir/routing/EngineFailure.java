package org.masticweir.routing;

/** What a traffic thread saw go wrong with an engine, and how much it says about the engine. */
public enum EngineFailure {
    /** A connection was refused or could not be opened. */
    CONNECT_FAILED(false),
    /** An open stream was reset. */
    RESET(false),
    /** A stream stayed silent past its bound. */
    SILENT(false),
    /** The engine refused an attempt before admission. */
    REFUSED(true);

    private final boolean mayBeLoad;

    EngineFailure(boolean mayBeLoad) {
        this.mayBeLoad = mayBeLoad;
    }

    /** Tells whether overload alone explains the failure, so that it says little of the engine. */
    boolean mayBeLoad() {
        return mayBeLoad;
    }
}
