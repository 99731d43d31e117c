package org.masticweir.control;

import com.google.common.base.Ascii;

/** What an engine is there for, each with the order that brings it about. */
public enum EngineRole {
    SERVING(OrderKind.ROLE),
    LEAVING(OrderKind.LEAVE);

    private final OrderKind order;

    EngineRole(OrderKind order) {
        this.order = order;
    }

    OrderKind order() {
        return order;
    }

    /** Returns the role that {@code word} stands for, or fails with an argument error. */
    public static EngineRole ofWireName(String word) {
        return valueOf(Ascii.toUpperCase(word));
    }
}
