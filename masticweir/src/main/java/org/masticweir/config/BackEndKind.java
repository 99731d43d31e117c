package org.masticweir.config;

/** What kind of back end answers for a model name. */
public enum BackEndKind {
    /** A model engine that streams tokens. */
    ENGINE,
    /** A plain service that answers one call with one body. */
    SERVICE
}
