package org.masticweir.control;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The control of a failure domain as one router sees it, for operators; immutable.
 *
 * @param holder whether this router may act for the domain
 * @param fencing number it acts or last acted under; 0 before the first time
 * @param openOrders orders journalled and not seen to hold yet
 * @param loads loads of weights started and not seen to hold yet
 * @param exposureMs longest time an engine of the domain can stand as a late order of a former
 *     holder left it, see {@link OrderPolicy#exposureMs}; 0 when all engines check fencing
 */
public record ControlView(
        boolean holder, long fencing, List<OpenOrder> openOrders, int loads, long exposureMs) {
    private static final ControlView IDLE = new ControlView(false, 0, List.of(), 0, 0);

    public ControlView {
        openOrders = ImmutableList.copyOf(openOrders);
    }

    static ControlView idle() {
        return IDLE;
    }
}
