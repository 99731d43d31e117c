package org.masticweir.standins.proxy;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a route does with its connections. */
enum Mode {
    @JsonProperty("pass")
    PASS(false, false),

    /** Open connections are reset, and so are new ones. */
    @JsonProperty("cut")
    CUT(true, true),

    /** Connections stay open and are accepted, but nothing passes either way. */
    @JsonProperty("stall")
    STALL(true, true),

    /** Nothing passes from the client to the target. */
    @JsonProperty("stall_up")
    STALL_UP(true, false),

    /** Nothing passes from the target to the client. */
    @JsonProperty("stall_down")
    STALL_DOWN(false, true),

    /** Each direction passes bytes late, in order. */
    @JsonProperty("delay")
    DELAY(false, false);

    private final boolean holdsUp;
    private final boolean holdsDown;

    Mode(boolean holdsUp, boolean holdsDown) {
        this.holdsUp = holdsUp;
        this.holdsDown = holdsDown;
    }

    boolean holds(Direction direction) {
        return direction == Direction.UP ? holdsUp : holdsDown;
    }
}
