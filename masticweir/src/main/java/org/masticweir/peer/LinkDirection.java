package org.masticweir.peer;

/** Which side opened a link. */
public enum LinkDirection {
    /** This router dialled: its own sends and asks go this way. */
    OUTGOING,
    /** The peer dialled: its sends and asks come this way. */
    INCOMING
}
