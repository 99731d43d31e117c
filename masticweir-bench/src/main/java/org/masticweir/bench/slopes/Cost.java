package org.masticweir.bench.slopes;

/** A cost that each point measures; that of a router is the mean over the point's routers. */
public enum Cost {
    ROUTER_CPU_PERCENT("processor time of a router, % of a core"),
    ROUTER_RSS_MB("resident memory of a router, MB"),
    ROUTER_READ_KB_PER_S("read by a router on all connections, KB/s"),
    ROUTER_WRITTEN_KB_PER_S("written by a router on all connections, KB/s"),
    PEER_FRAMES_PER_S("frames of a router's peer links, in and out, 1/s"),
    PEER_BYTES_PER_S("bytes of a router's peer links, in and out, B/s"),
    TABLE_READS_PER_S("table reads by all routers, 1/s"),
    TABLE_WRITES_PER_S("table writes by all routers, 1/s"),
    ROUTER_TOKENS_PER_S("tokens of answers that a router completed, 1/s"),
    CONFIG_DELAY_MS("a change sent until the last router holds it, ms"),
    ;

    private final String title;

    Cost(String title) {
        this.title = title;
    }

    /** Returns the cost and its unit in words. */
    String title() {
        return title;
    }
}
