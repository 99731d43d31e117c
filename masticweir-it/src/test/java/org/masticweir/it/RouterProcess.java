package org.masticweir.it;

import java.net.InetSocketAddress;

/**
 * A router that a test started.
 *
 * @param callers its callers' port
 * @param operators its operators' port
 * @param peers the proxy's route to its peers' port
 */
record RouterProcess(
        String id,
        String domain,
        ChildProcess process,
        InetSocketAddress callers,
        InetSocketAddress operators,
        InetSocketAddress peers) {}
