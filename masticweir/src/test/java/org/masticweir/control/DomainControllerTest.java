package org.masticweir.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.id.DomainId;
import org.masticweir.id.RouterId;
import org.masticweir.store.Row;
import org.masticweir.time.Clock;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Orders over HTTP, and the controller on a control thread of its own. */
class DomainControllerTest {
    private static final Order ORDER = Order.about(7, OrderKind.LOAD, ControlWorld.V1);

    private XnioWorker worker;
    private HttpCaller caller;
    private Undertow server;
    private EngineCalls calls;
    private InetSocketAddress address;
    private volatile int status = 200;
    private volatile String answer = "";
    private final CompletableFuture<Order> received = new CompletableFuture<>();

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        caller = HttpCaller.create(worker, HttpCallerLimits.defaults());
        calls = HttpEngineCalls.over(caller, 5_000);
        server = Undertow.builder().addHttpListener(0, "127.0.0.1", this::serve).build();
        server.start();
        address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    private void serve(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullString(
                        (e, body) -> {
                            if (!body.isEmpty()) {
                                received.complete(Order.decode(body));
                            }
                            e.setStatusCode(status);
                            e.getResponseSender().send(answer);
                        });
    }

    @AfterEach
    void tearDown() {
        caller.close();
        server.stop();
        worker.shutdown();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200|{\"applied\":true}|APPLIED",
                "200|half an ans|UNKNOWN",
                "409|{\"code\":\"OLD_FENCING\",\"highest\":9}|OLD_FENCING",
                "404|{}|NOT_DONE",
                "503|{}|NOT_DONE",
                "500|{}|UNKNOWN"
            })
    void answerTellsWhatBecameOfTheOrder(int code, String body, SendOutcome outcome) {
        status = code;
        answer = body;
        assertEquals(outcome, calls.send(address, ORDER).join());
        assertEquals(ORDER, received.join());
    }

    @Test
    void orderThatNeverLeftIsNotDone() {
        server.stop();
        assertEquals(SendOutcome.NOT_DONE, calls.send(address, ORDER).join());
    }

    @Test
    void readBackTellsHoldings() {
        answer = "{\"models\":[{\"model\":\"report\",\"version\":\"1\"}],\"role\":\"serving\"}";
        assertEquals(
                Optional.of(EngineHoldings.of(Set.of(ControlWorld.V1), EngineRole.SERVING)),
                calls.readBack(address).join());
        answer = "{\"models\":[],\"role\":\"?\"}";
        assertEquals(Optional.empty(), calls.readBack(address).join());
    }

    @Test
    void controllerOrdersUnderItsLeaseAndHandsItBack() {
        answer = "{\"models\":[],\"role\":\"serving\",\"applied\":true}";
        ControlWorld world = new ControlWorld(1, true);
        FakeEngine listed = world.engines.get(0);
        listed.listedLeaving = true;
        ManagedEngine engine =
                new ManagedEngine(
                        listed.id, address, "g", listed.managed().holdings(), listed.listedLeaving);
        ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
        DomainController controller =
                DomainController.create(
                        RouterId.of("a"),
                        DomainId.of("d"),
                        world.table,
                        (model, version, id, timeoutMs) -> new CompletableFuture<>(),
                        caller,
                        control,
                        Clock.system(),
                        ControlWorld.SETTINGS,
                        () -> new ControlInput(world.input().deployment(), List.of(engine)));
        controller.start();
        assertEquals(Order.about(1, EngineRole.LEAVING), received.join());
        controller.release().join();
        control.shutdownNow();
        Row lease = world.table.row(LeaseRow.keyOf("domain-d"));
        assertEquals(Optional.empty(), LeaseRow.decode(lease.value()).holder());
    }
}
