package org.masticweir.standins.proxy;

/** Which way bytes go on a connection. */
enum Direction {
    /** From the client to the target. */
    UP,
    /** From the target to the client. */
    DOWN
}
