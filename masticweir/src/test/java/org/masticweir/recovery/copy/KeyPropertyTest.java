package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;

/** Runs the routers that ask for one key through random orders of messages, delays and cuts. */
final class KeyPropertyTest {
    private static final RequestId KEY = RequestId.of("key");
    private static final int ROUTERS = 4;
    private static final int STEPS = 60;

    /**
     * A report would be computed twice, or by nobody: routers of several domains ask for its key at
     * one moment, questions and answers pass each other, come late or not at all, and links to the
     * home break and heal. Only routers that got no answer in time may run beside the owner, and
     * whoever reads, reads from a router that runs.
     */
    @Property(tries = 5_000, seed = "20261202")
    void onlyRoutersWithoutAnAnswerRunBesideTheOwner(@ForAll long seed) {
        World world = new World(new Random(seed), false);
        world.run();
        assertTrue(world.granted() <= 1, () -> "granted: " + world.became);
        assertTrue(world.running() <= 1 + world.alone(), world.became::toString);
        assertTrue(world.running() >= 1, () -> "nobody runs it: " + world.became);
        world.became.values().forEach(world::assertReadsFromOneThatRuns);
    }

    /** Without faults exactly one runs it, in whatever order questions and answers come. */
    @Property(tries = 2_000, seed = "20261202")
    void withoutFaultsExactlyOneRuns(@ForAll long seed) {
        World world = new World(new Random(seed), true);
        world.run();
        assertEquals(1, world.running(), world.became::toString);
        assertEquals(0, world.alone());
    }

    /** The plain policy, each domain on its own, runs the key in every domain. */
    @Example
    void eachDomainOnItsOwnRunsItTwice() {
        World world = new World(new Random(1), true);
        world.plain = true;
        world.run();
        assertEquals(ROUTERS, world.running());
    }

    /** The random orders must reach what they are for; else the property proves nothing. */
    @Example
    void ordersReachJoinsAndRunsAlone() {
        int joined = 0;
        int alone = 0;
        int late = 0;
        for (int seed = 0; seed < 300; seed++) {
            World world = new World(new Random(seed), false);
            world.run();
            joined += world.running() < ROUTERS ? 1 : 0;
            alone += world.alone() > 0 ? 1 : 0;
            late += world.late > 0 ? 1 : 0;
        }
        String counts = joined + " joined, " + alone + " alone, " + late + " with a late answer";
        System.out.println("keys: of 300 orders " + counts);
        assertTrue(joined > 100 && alone > 100 && late > 50, counts);
    }

    /** One home, the routers that ask it, and the messages between them. */
    private static final class World {
        private static final long BOUND_MS = 100;

        private final Random random;
        private final boolean faultless;
        private final RegisteredKeys home = RegisteredKeys.create();
        private final List<RouterId> toSubmit = new ArrayList<>();
        private final Map<RouterId, KeyAsk> asks = new HashMap<>();
        private final List<Runnable> network = new ArrayList<>();
        private final Map<RouterId, KeyAction> became = new HashMap<>();
        private boolean plain;
        private boolean cut;
        private int late;
        private long nowMs;

        World(Random random, boolean faultless) {
            this.random = random;
            this.faultless = faultless;
            for (int i = 0; i < ROUTERS; i++) {
                toSubmit.add(RouterId.of("router-" + i));
            }
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step(random.nextInt(100));
            }
            cut = false;
            while (!toSubmit.isEmpty()) {
                submit();
            }
            while (!network.isEmpty()) {
                deliver();
            }
            passMs(BOUND_MS);
        }

        private void step(int what) {
            if (what < 25) {
                submit();
            } else if (what < 70) {
                deliver();
            } else if (faultless) {
                passMs(1);
            } else if (what < 88) {
                passMs(random.nextInt(50));
            } else if (what < 90) {
                passMs(3 * BOUND_MS);
            } else {
                cut = !cut;
            }
        }

        private void submit() {
            if (toSubmit.isEmpty()) {
                return;
            }
            RouterId router = toSubmit.remove(random.nextInt(toSubmit.size()));
            if (plain) {
                became.put(router, new KeyAction.Run());
                return;
            }
            KeyAsk ask = KeyAsk.of(router, ImmutableList.of(Samples.H1, Samples.H2), BOUND_MS);
            asks.put(router, ask);
            carryOut(router, ask.start(nowMs));
        }

        private void deliver() {
            if (!network.isEmpty()) {
                network.remove(random.nextInt(network.size())).run();
            }
        }

        private void passMs(long ms) {
            nowMs += ms;
            asks.keySet().forEach(r -> tell(r, new KeyEvent.Tick()));
        }

        private void tell(RouterId router, KeyEvent event) {
            carryOut(router, asks.get(router).on(event, nowMs));
        }

        private void carryOut(RouterId router, List<KeyAction> actions) {
            for (KeyAction action : actions) {
                if (action instanceof KeyAction.Ask) {
                    network.add(() -> hear(router));
                } else if (!(action instanceof KeyAction.WakeAt)) {
                    assertTrue(became.put(router, action) == null, "decided once");
                }
            }
        }

        /** A question that meets a cut is lost, its answer likewise; some links say so. */
        private void hear(RouterId router) {
            if (cut) {
                unheard(router);
                return;
            }
            RouterId owner = home.register(KEY, router, nowMs);
            network.add(
                    () -> {
                        late += became.containsKey(router) ? 1 : 0;
                        if (cut) {
                            unheard(router);
                        } else {
                            tell(router, new KeyEvent.Answered(owner));
                        }
                    });
        }

        private void unheard(RouterId router) {
            if (random.nextBoolean()) {
                tell(router, new KeyEvent.Unreachable());
            }
        }

        long granted() {
            return became.values().stream().filter(KeyAction.Run.class::isInstance).count();
        }

        long alone() {
            return became.values().stream().filter(KeyAction.RunAlone.class::isInstance).count();
        }

        long running() {
            return granted() + alone();
        }

        void assertReadsFromOneThatRuns(KeyAction action) {
            if (action instanceof KeyAction.Join join) {
                KeyAction owners = became.get(join.owner());
                assertTrue(!(owners instanceof KeyAction.Join), () -> join + " of " + became);
            }
        }
    }
}
