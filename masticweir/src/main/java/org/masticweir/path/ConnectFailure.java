package org.masticweir.path;

/** Cause of a failed connection, as far as it is known. */
public enum ConnectFailure {
    /** Several routers that reach other servers do not reach this server. */
    SERVER_UNREACHABLE,
    /** This router does not reach the server, and is linked to no router that could confirm it. */
    UNCONFIRMED,
    /** This router does not reach the server, and others gave no clear answer. */
    NOT_REACHED,
    /** This router reaches no server directly, so the failure says nothing about this server. */
    NO_PATHS;

    /** Returns whether the server has failed, as far as this router can know. */
    boolean isLikelyOfServer() {
        return this == SERVER_UNREACHABLE || this == UNCONFIRMED;
    }
}
