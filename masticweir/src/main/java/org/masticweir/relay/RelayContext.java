package org.masticweir.relay;

import io.undertow.connector.ByteBufferPool;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.forward.LoadBoard;
import org.masticweir.forward.Placement;
import org.masticweir.forward.RepeatGate;
import org.masticweir.forward.ServerHealth;
import org.masticweir.forward.SilenceBounds;
import org.masticweir.forward.StreamPace;
import org.masticweir.forward.WaitingLine;
import org.masticweir.http.HttpCaller;
import org.masticweir.permits.SharedLimits;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * What all requests of a router share; all of it belongs to the traffic thread.
 *
 * @param sharedRepeats asks for what {@code repeats} does not allow by itself
 * @param limits what servers limit, and permits for it
 * @param notices takes what servers say in their answers
 * @param connectTimeoutMs time for a connection to a server
 * @param loadsChanged runs after this router's use of servers has changed
 */
record RelayContext(
        Clock clock,
        XnioIoThread thread,
        Dialect dialect,
        ByteBufferPool buffers,
        HttpCaller calls,
        KeptPrompts prompts,
        Supplier<RelayView> view,
        LoadBoard loads,
        ServerHealth health,
        Placement placement,
        RepeatGate repeats,
        SharedRepeats sharedRepeats,
        SharedLimits limits,
        AnswerNotices notices,
        SharedQuarantine quarantine,
        LossInquiry losses,
        RequestsUnderWay underWay,
        WaitingLine line,
        SilenceBounds silence,
        StreamPace pace,
        RandomGenerator random,
        RelayMetrics metrics,
        long connectTimeoutMs,
        Runnable loadsChanged) {}
