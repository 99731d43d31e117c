package org.masticweir.recovery;

import org.masticweir.id.EngineId;

/** Tells how long an engine may be silent before it is probed. */
public interface SilenceBounds {
    /**
     * Returns the bound in milliseconds.
     *
     * @param firstToken whether the attempt has yet to give its first token (queue and prefill)
     */
    long boundMs(EngineId engine, boolean firstToken);
}
