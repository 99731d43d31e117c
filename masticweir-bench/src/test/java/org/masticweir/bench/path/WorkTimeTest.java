package org.masticweir.bench.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Which threads' time counts. */
class WorkTimeTest {
    private static String stat(String name) {
        return "7 (" + name + ") S 1 1 1 0 -1 4194624 10 0 0 0 120 34 0 0 20 0 30 0 99 1 2\n";
    }

    @Test
    void userAndSystemTimeCount() {
        assertEquals(154, WorkTime.ticks(stat("XNIO-1 I/O-1")));
        assertEquals(154, WorkTime.ticks(stat("a (b) c")));
    }

    @Test
    void compilersDoNot() {
        assertEquals(0, WorkTime.ticks(stat("C2 CompilerThre")));
        assertEquals(0, WorkTime.ticks(stat("C1 CompilerThre")));
    }
}
