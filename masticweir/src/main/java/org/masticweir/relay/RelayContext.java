package org.masticweir.relay;

import io.undertow.connector.ByteBufferPool;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.masticweir.forward.LoadTracker;
import org.masticweir.forward.RetryLimiter;
import org.masticweir.forward.ServerHealth;
import org.masticweir.forward.ServerSelector;
import org.masticweir.forward.SilenceTimeouts;
import org.masticweir.forward.StreamDurationEstimator;
import org.masticweir.forward.WaitQueue;
import org.masticweir.http.HttpCaller;
import org.masticweir.permits.SharedLimits;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * What all requests of a router share; all of it belongs to the traffic thread.
 *
 * @param sharedRetries asks for what {@code repeats} does not allow by itself
 * @param limits what servers limit, and permits for it
 * @param answerMetadata takes what servers say in their answers
 * @param connectTimeoutMs time for a connection to a server
 * @param loadsChanged runs after this router's use of servers has changed
 */
record RelayContext(
        Clock clock,
        XnioIoThread thread,
        PlatformProtocol protocol,
        ByteBufferPool buffers,
        HttpCaller calls,
        PromptCacheClient promptCaches,
        Supplier<RelayView> view,
        LoadTracker loads,
        ServerHealth health,
        ServerSelector selector,
        RetryLimiter retries,
        SharedRetryPermits sharedRetries,
        SharedLimits limits,
        AnswerMetadataRecorder answerMetadata,
        SharedQuarantine quarantine,
        LossInquiry lossInquiry,
        InFlightRequests inFlight,
        WaitQueue waitQueue,
        SilenceTimeouts silenceTimeouts,
        StreamDurationEstimator durations,
        RandomGenerator random,
        RelayMetrics metrics,
        long connectTimeoutMs,
        Runnable loadsChanged) {}
