package org.masticweir.standins.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.base.Strings;
import org.masticweir.http.IpAddress;

/** One entry of the instance list. */
record Instance(String id, Kind kind, String group, String domain, String address, State state) {
    Instance {
        checkNotNull(id, "id");
        checkNotNull(kind, "kind");
        group = Strings.nullToEmpty(group);
        checkNotNull(domain, "domain");
        IpAddress.parse(checkNotNull(address, "address"));
        checkNotNull(state, "state");
    }

    /** What an instance runs. */
    enum Kind {
        @JsonProperty("engine")
        ENGINE,
        @JsonProperty("service")
        SERVICE,
        @JsonProperty("router")
        ROUTER
    }

    /** Whether an instance takes new work. */
    enum State {
        @JsonProperty("live")
        LIVE,
        @JsonProperty("leaving")
        LEAVING
    }
}
