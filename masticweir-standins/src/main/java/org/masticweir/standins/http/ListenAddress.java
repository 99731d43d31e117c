package org.masticweir.standins.http;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.net.InetSocketAddress;
import org.masticweir.http.IpAddress;

/** Converts the command line's {@code ip:port} to an address. */
public final class ListenAddress implements IStringConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String value) {
        try {
            return IpAddress.parse(value);
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new ParameterException("not an address of the form ip:port: " + value);
        }
    }
}
