package org.masticweir.relay;

import java.net.InetSocketAddress;
import org.masticweir.http.HttpCaller;
import org.masticweir.store.ChangeFeed;
import org.masticweir.store.TableService;

/** What a router needs of the platform that it runs on; thread-safe. */
public interface PlatformPort {
    PlatformProtocol protocol();

    DeploymentFormat deploymentFormat();

    /** Returns a client of the store at {@code address}, whose calls go through {@code calls}. */
    Store store(InetSocketAddress address, HttpCaller calls);

    /** The platform's store. */
    interface Store extends ChangeFeed, TableService {}
}
