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
import org.masticweir.http.AnswerPool;
import org.masticweir.path.ServerCaller;
import org.masticweir.path.ServerDialer;
import org.masticweir.permits.SharedLimits;
import org.masticweir.permits.SharedRooms;
import org.masticweir.quarantine.SharedQuarantine;
import org.masticweir.time.Clock;
import org.xnio.XnioIoThread;

/**
 * Dependencies that all requests of a router share; owned by the traffic thread.
 *
 * @param serverDialer opens the connections of sends to servers
 * @param serverCaller calls servers for their state
 * @param sharedRetryPermits permits for retries that exceed this router's own retry budget
 * @param answerPool memory that the long answers to all sends share
 * @param limits rate limits that servers announce, and permits for requests within these limits
 * @param rooms room at brittle servers
 * @param metadataRecorder recorder of the announcements in servers' answers
 * @param connectTimeoutMs timeout for a connection to a server
 * @param onLoadsChanged runs after this router's load on servers has changed
 */
record RelayContext(
        Clock clock,
        XnioIoThread thread,
        PlatformProtocol protocol,
        ByteBufferPool buffers,
        ServerDialer serverDialer,
        ServerCaller serverCaller,
        ServerVerifier serverVerifier,
        PromptCacheClient promptCaches,
        Supplier<RelayView> view,
        Supplier<CatalogEvidence> catalogEvidence,
        AnswerPool answerPool,
        LoadTracker loads,
        ServerHealth health,
        ServerSelector selector,
        RetryLimiter retryLimiter,
        SharedRetryPermits sharedRetryPermits,
        SharedLimits limits,
        SharedRooms rooms,
        AnswerMetadataRecorder metadataRecorder,
        SharedQuarantine quarantine,
        LossInquiry lossInquiry,
        InFlightRequests inFlightRequests,
        WaitQueue waitQueue,
        SilenceTimeouts silenceTimeouts,
        StreamDurationEstimator streamDurations,
        RandomGenerator random,
        RelayMetrics metrics,
        long connectTimeoutMs,
        Runnable onLoadsChanged) {}
