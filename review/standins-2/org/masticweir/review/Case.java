package org.masticweir.review;

import java.io.IOException;

/** One case of the review. */
interface Case {
    /**
     * Plays the case, and returns whether the rule held.
     *
     * @param isTroubled whether the disruption takes place
     */
    boolean play(Bed bed, Record record, boolean isTroubled) throws IOException;
}
