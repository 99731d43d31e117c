package org.masticweir.relay;

import java.net.InetSocketAddress;
import org.masticweir.http.HttpCaller;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.TableService;

/** The operations that a router requires from its platform; thread-safe. */
public interface PlatformPort {
    PlatformProtocol protocol();

    DeploymentFormat deploymentFormat();

    /** Returns a client of the store at {@code address} that sends its calls with {@code calls}. */
    Store store(InetSocketAddress address, HttpCaller calls);

    /** Client of the platform's store. */
    interface Store extends ChangeFeed, TableService {}
}
