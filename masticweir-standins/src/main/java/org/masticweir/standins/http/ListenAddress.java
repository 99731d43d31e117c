package org.masticweir.standins.http;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Converts the command line's {@code ip:port} to an address. */
public final class ListenAddress implements IStringConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String value) {
        try {
            HostAndPort parts = HostAndPort.fromString(value);
            return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new ParameterException("not an address of the form ip:port: " + value);
        }
    }

    /** Returns {@code address} as {@code ip:port}. */
    static String text(InetSocketAddress address) {
        String host = InetAddresses.toAddrString(address.getAddress());
        return HostAndPort.fromParts(host, address.getPort()).toString();
    }
}
