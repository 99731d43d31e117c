package org.masticweir.config;

/** From whom a router learns of a revision. */
public enum RevisionSource {
    TABLE,
    PEER
}
