package org.masticweir.serving;

import static com.google.common.base.Preconditions.checkArgument;

import org.masticweir.config.WorkClass;

/**
 * Places an attempt in its engine's queue, where the lowest number enters the batch first.
 *
 * <p>Failure guarded against: engines are lost and the survivors' batches are full. A generation
 * that goes on there waits behind all that was let in before the loss, and its caller, who has
 * tokens already, sees a stream that stands still for seconds. Recovered tokens therefore go before
 * the first place that any class can have.
 */
final class AttemptPriority {
    /** Below that of every class, which is its target for the first token, 1 ms or more. */
    static final int RECOVERED = 0;

    private AttemptPriority() {}

    /**
     * Returns the priority of an attempt of {@code workClass}.
     *
     * @param accepted tokens that the generation has; one without any is as good as new
     */
    static int of(WorkClass workClass, int accepted, boolean recovering) {
        checkArgument(accepted >= 0, "%s accepted tokens", accepted);
        return recovering && accepted > 0 ? RECOVERED : workClass.firstTokenMs();
    }
}
