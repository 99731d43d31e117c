package org.masticweir.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticweir.catalog.ServiceName;

/** How a shared allowance of repeats is divided among routers. */
class ServiceRepeatsTest {
    private static final ServiceName SERVICE = ServiceName.of("lookups");
    private static final int ROUTERS = 8;

    private static int repeatsOf(ServiceRepeats repeats) {
        int granted = 0;
        while (repeats.tryRepeat(SERVICE, 0)) {
            granted++;
        }
        return granted;
    }

    /** The parts of all routers stay within the shared allowance, whatever fraction it has. */
    @ParameterizedTest
    @CsvSource({"150, 15", "150.9, 15", "19.9, 1", "20, 2", "24.193548387096776, 2", "0, 1"})
    void aRouterMayUseTheWholeRepeatsOfItsPart(double allowance, int expected) {
        assertEquals(expected, repeatsOf(ServiceRepeats.partOf(0, allowance, ROUTERS)));
    }
}
