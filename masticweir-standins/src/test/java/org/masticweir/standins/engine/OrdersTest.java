package org.masticweir.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which orders an engine applies. */
class OrdersTest {
    private static final LoadedModel NEW_MODEL = new LoadedModel("letters", "2", "");

    private static Order order(long fencing, Order.Kind kind) {
        return new Order(fencing, kind, "letters", "2", "");
    }

    /** An engine that checks fencing numbers. */
    @Nested
    class Checking {
        private final Orders orders = Orders.of(EngineParts.settings());

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
        private final Orders orders = Orders.of(EngineParts.settings("--checks-fencing", "false"));

        @Test
        void appliesOldOrders() {
            orders.apply(order(7, Order.Kind.LOAD), false);
            assertTrue(orders.apply(order(6, Order.Kind.LEAVE), false));
            assertEquals(Orders.Role.LEAVING, orders.state().role());
            assertEquals(7, orders.state().highestFencing());
        }
    }
}
