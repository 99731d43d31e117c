package org.masticweir.standins;

/**
 * One sub-command of the stand-ins' program, whose fields JCommander fills.
 *
 * <p>A new one is added to the list in {@link StandIns}.
 */
public interface StandInCommand {
    /** Returns the word that selects this command. */
    String name();

    /** Starts the stand-in, prints its ready line and returns while its threads go on. */
    void start();
}
