package org.masticweir.router;

import java.net.InetSocketAddress;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;
import org.masticweir.error.Verdict;

/** Says to whoever starts a router that one of its ports can't be opened; stateless. */
final class PortFault {
    private PortFault() {}

    /** Returns the error of the setting {@code key}, which names {@code address}. */
    static MasticweirException taken(String key, InetSocketAddress address, Exception cause) {
        String text = address.getHostString() + ":" + address.getPort();
        return MasticweirException.causedBy(
                ErrorCode.SETTINGS_INVALID,
                Verdict.NOT_RUN,
                "[router] " + key + " = " + text + ": the port cannot be opened; name a free one",
                cause);
    }
}
