package org.masticweir.it;

/** A bed of processes whose faults can be undone. */
interface HealableBed extends AutoCloseable {
    /** Ends all faults and returns once everything serves again. */
    void heal();

    @Override
    void close();
}
