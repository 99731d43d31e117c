package org.masticweir.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticweir.time.ManualClock;

/** Tests which orders an engine applies. */
class OrdersTest {
    private static final LoadedModel NEW_MODEL = new LoadedModel("letters", "2", "");

    private final ManualClock clock = ManualClock.startingAt(5_000);

    private static Order order(long fencing, Order.Kind kind) {
        return new Order(fencing, kind, "letters", "2", "");
    }

    /** An engine that checks fencing numbers. */
    @Nested
    class Checking {
        private final Orders orders = Orders.of(EngineParts.settings(), clock);

        @Test
        void refusesOldFencingAndKeepsWhatHolds() {
            assertTrue(orders.apply(order(7, Order.Kind.LOAD), false));
            assertFalse(orders.apply(order(6, Order.Kind.UNLOAD), false));
            assertTrue(orders.serves(NEW_MODEL));
            assertEquals(7, orders.state().highestFencing());
            assertEquals(2, orders.recorded().size());
            assertFalse(orders.recorded().get(1).applied());
        }

        @Test
        void recordsWhenAnOrderCameAndWhetherItChangedAnything() {
            orders.apply(order(7, Order.Kind.LOAD), false);
            orders.apply(order(7, Order.Kind.LOAD), false);
            orders.apply(order(6, Order.Kind.UNLOAD), false);
            orders.apply(order(7, Order.Kind.LEAVE), false);
            assertEquals(
                    List.of(true, false, false, true),
                    orders.recorded().stream().map(Orders.Recorded::changed).toList());
            assertEquals(clock.wallMs(), orders.recorded().get(0).atMs());
        }

        @Test
        void sameFencingMayGiveMoreOrders() {
            assertTrue(orders.apply(order(7, Order.Kind.LEAVE), false));
            assertTrue(orders.apply(order(7, Order.Kind.ROLE), false));
            assertEquals(Orders.Role.SERVING, orders.state().role());
        }

        @Test
        void faultMakesItIgnoreFencing() {
            orders.apply(order(7, Order.Kind.LOAD), false);
            assertTrue(orders.apply(order(6, Order.Kind.UNLOAD), true));
            assertFalse(orders.serves(NEW_MODEL));
        }
    }

    /** An engine that does not check who gives an order. */
    @Nested
    class NotChecking {
        private final Orders orders =
                Orders.of(EngineParts.settings("--checks-fencing", "false"), clock);

        @Test
        void appliesOldOrders() {
            orders.apply(order(7, Order.Kind.LOAD), false);
            assertTrue(orders.apply(order(6, Order.Kind.LEAVE), false));
            assertEquals(Orders.Role.LEAVING, orders.state().role());
            assertEquals(7, orders.state().highestFencing());
        }
    }
}
