package org.masticweir.membership;

import org.masticweir.engine.BackEnd;

/**
 * One back end and what is thought of it; immutable.
 *
 * @param lastHeardMs when it last reported, or was first listed if it never did
 */
public record EngineStanding(BackEnd backEnd, EngineState state, long lastHeardMs) {}
