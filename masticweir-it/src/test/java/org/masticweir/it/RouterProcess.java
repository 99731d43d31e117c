package org.masticweir.it;

import java.net.InetSocketAddress;

/** A router that a test started, with the addresses of its ports. */
record RouterProcess(
        String id, ChildProcess process, InetSocketAddress callers, InetSocketAddress operators) {}
