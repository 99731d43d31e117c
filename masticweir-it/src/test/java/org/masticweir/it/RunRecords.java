package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;

/** What a test bed's live engines recorded. */
interface RunRecords {
    /** Returns the attempts at {@code request}. */
    ImmutableList<RunGeneration> runsOf(CallRequest request);
}
