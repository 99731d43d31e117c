package org.masticweir.bench.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.masticweir.bench.BenchCommand;
import org.masticweir.bench.BenchWorker;
import org.masticweir.config.ConfigRows;
import org.masticweir.config.DeploymentDocument;
import org.masticweir.config.StoredRevision;
import org.masticweir.http.HttpCall;
import org.masticweir.http.HttpCaller;
import org.masticweir.http.HttpCallerLimits;
import org.masticweir.http.HttpOutcome;
import org.masticweir.http.IpAddress;
import org.masticweir.store.HttpPlatform;
import org.masticweir.store.Row;
import org.masticweir.store.RowKey;
import org.masticweir.store.Transaction;
import org.masticweir.store.TransactionOutcome;
import org.masticweir.time.Clock;
import org.xnio.XnioWorker;

/** Puts a deployment's first configuration and its instances into a platform stand-in. */
@Parameters(commandDescription = "install a first configuration and an instance list")
public final class PublishCommand implements BenchCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MS = 5_000;
    private static final RowKey CURRENT = RowKey.of(ConfigRows.TABLE, ConfigRows.CURRENT_KEY);
    private static final RowKey HISTORY = RowKey.of(ConfigRows.TABLE, ConfigRows.historyKey(1));
    private static final int INSTANCE_PARTS = 5;

    @Parameter(names = "--platform", required = true, description = "address of the platform")
    private String platform = "";

    @Parameter(names = "--config", description = "deployment document")
    private String config = "";

    @Parameter(
            names = "--instance",
            splitter = NoSplitter.class,
            description = "kind,id,domain,group,ip:port; may be repeated")
    private List<String> instances = new ArrayList<>();

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public int run() {
        XnioWorker worker = BenchWorker.start(1);
        try (HttpCaller calls = HttpCaller.create(worker, HttpCallerLimits.defaults())) {
            boolean done = config.isEmpty() || install(calls);
            for (String instance : instances) {
                done &= announce(calls, instance);
            }
            return done ? 0 : 1;
        } finally {
            worker.shutdownNow();
        }
    }

    private boolean install(HttpCaller calls) {
        String document = read(Path.of(config));
        DeploymentDocument.parse(config, document, 1);
        StoredRevision first =
                new StoredRevision(1, "install", "install", Clock.system().wallMs(), document);
        Transaction transaction =
                Transaction.builder()
                        .check(CURRENT, Row.ABSENT)
                        .put(CURRENT, ConfigRows.text(first))
                        .put(HISTORY, ConfigRows.text(first.entry()))
                        .build();
        TransactionOutcome outcome =
                HttpPlatform.at(address(), calls).transact(transaction, TIMEOUT_MS).join();
        if (outcome instanceof TransactionOutcome.Committed) {
            return true;
        }
        System.err.println("the platform did not take the configuration: " + outcome);
        return false;
    }

    private boolean announce(HttpCaller calls, String text) {
        List<String> parts = Splitter.on(',').splitToList(text);
        if (parts.size() != INSTANCE_PARTS) {
            System.err.println(text + " is not kind,id,domain,group,ip:port");
            return false;
        }
        ObjectNode json = MAPPER.createObjectNode();
        json.put("kind", parts.get(0));
        json.put("id", parts.get(1));
        json.put("domain", parts.get(2));
        json.put("group", parts.get(3));
        json.put("address", parts.get(4));
        json.put("state", "live");
        byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
        String path = "/instances/" + parts.get(1);
        ImmutableMap<String, String> headers = ImmutableMap.of("Content-Type", "application/json");
        return sent(calls, new HttpCall("PUT", address(), path, headers, body));
    }

    private InetSocketAddress address() {
        return IpAddress.parse(platform);
    }

    private static boolean sent(HttpCaller calls, HttpCall call) {
        HttpOutcome outcome = calls.call(call, TIMEOUT_MS).join();
        if (outcome instanceof HttpOutcome.Answered a && a.answer().isSuccess()) {
            return true;
        }
        System.err.println("the platform did not take " + call.path() + ": " + outcome);
        return false;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
