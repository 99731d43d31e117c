package org.masticweir.bench.slopes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.util.List;
import org.masticweir.http.IpAddress;

/** A router under measurement: its operators' address and its process; immutable. */
record RouterProcess(InetSocketAddress operators, long pid) {
    /** Reads {@code ip:port,pid}. */
    static RouterProcess parse(String text) {
        List<String> parts = Splitter.on(',').splitToList(text);
        checkArgument(parts.size() == 2, "%s is not ip:port,pid", text);
        return new RouterProcess(IpAddress.parse(parts.get(0)), Long.parseLong(parts.get(1)));
    }
}
