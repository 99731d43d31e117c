package org.masticweir.recovery.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.masticweir.recovery.copy.Samples.A;
import static org.masticweir.recovery.copy.Samples.H1;
import static org.masticweir.recovery.copy.Samples.H2;
import static org.masticweir.recovery.copy.Samples.H3;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticweir.id.RouterId;

/** Runs two owners and three holders through random orders of messages, losses and pauses. */
final class CopyInterleavingTest {
    private static final int STEPS = 400;
    private static final ImmutableList<RouterId> HOLDERS = ImmutableList.of(H1, H2, H3);

    /**
     * A caller would read a report stitched from two: its router is paused or cut off from a
     * holder, another takes over and goes on with other tokens, messages come late, twice or not at
     * all, and the first router wakes. The engines here give each owner other tokens after the
     * prefix, so that any mixture shows.
     */
    @Property(tries = 2_000, seed = "20261202")
    void releasedTokensAreOnePrefix(@ForAll long seed) {
        Random random = new Random(seed);
        CopyWorld world = new CopyWorld(random);
        for (int i = 0; i < STEPS; i++) {
            step(world, random);
            check(world);
        }
    }

    private static void step(CopyWorld world, Random random) {
        int what = random.nextInt(100);
        if (what < 45) {
            world.deliver();
        } else if (what < 50) {
            world.repeat();
        } else if (what < 53) {
            world.loseToHolder();
        } else if (what < 70) {
            world.accept();
        } else if (what < 90) {
            world.advance(1 + random.nextInt(40));
        } else if (what < 92) {
            world.cutLink(HOLDERS.get(random.nextInt(HOLDERS.size())));
        } else if (what < 93) {
            world.killHolder();
        } else if (what < 97) {
            world.pauseOrWakeFirstOwner();
        } else {
            world.startTakeOver();
        }
    }

    private static void check(CopyWorld world) {
        List<Integer> old = world.first().released();
        assertEquals(world.first().log().subList(0, old.size()), old);
        if (world.second().isEmpty()) {
            return;
        }
        CopyWorld.Owner second = world.second().get();
        assertTrue(
                old.size() <= world.takenTokens(),
                () -> old.size() + " released, " + world.takenTokens() + " taken over");
        assertEquals(second.log().subList(0, old.size()), old);
        assertEquals(second.log().subList(0, second.released().size()), second.released());
        assertTrue(!world.first().releasedAfterFence());
    }

    /** The random orders must reach what they are for; else the property proves nothing. */
    @Example
    void interleavingsReachTakeOversAndFences() {
        int taken = 0;
        int fenced = 0;
        int moved = 0;
        int both = 0;
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            CopyWorld world = new CopyWorld(random);
            for (int i = 0; i < STEPS; i++) {
                step(world, random);
            }
            Optional<CopyWorld.Owner> second = world.second();
            taken += second.isPresent() ? 1 : 0;
            fenced += world.first().fenced() ? 1 : 0;
            moved += world.first().holdersUsed() > 1 ? 1 : 0;
            boolean released = second.filter(s -> !s.released().isEmpty()).isPresent();
            both += released && !world.first().released().isEmpty() ? 1 : 0;
        }
        String counts = taken + " taken, " + fenced + " fenced, " + moved + " moved, " + both;
        System.out.println("copy: of 300 orders " + counts + " released by both");
        assertTrue(taken > 100 && fenced > 50 && moved > 50 && both > 50, counts);
        assertEquals(A, CopyEpoch.first(A).owner());
    }
}
