package org.masticweir.it;

import com.google.common.collect.ImmutableList;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.bench.standin.StandInControl.RunGeneration;

/** What engines of a test bed recorded; those that live, unless an implementation says more. */
interface RunRecords {
    /** Returns the attempts at {@code request}. */
    ImmutableList<RunGeneration> runsOf(CallRequest request);
}
