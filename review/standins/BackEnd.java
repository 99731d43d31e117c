package org.masticweir.review;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.google.common.base.Splitter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A back-end server as a process: model server and plain service in one. It writes its port and
 * what it runs to standard output, and serves one request on a connection.
 *
 * <p>Its options are arguments of the form {@code name=value}, see {@link Options}.
 */
final class BackEnd {
    /** Begins the first line of the output, which names the port. */
    static final String PORT = "port ";

    private static final int FLOOD_BYTES = 64 << 10;

    private final Options options;
    private final AtomicInteger requests = new AtomicInteger();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /**
     * How the server behaves.
     *
     * @param id its id in the store
     * @param bornMs Unix time of its start, which it tells
     * @param events events of each stream
     * @param gapMs time between two events, and work on a plain request
     * @param isUnframed whether answers have neither a length nor chunks
     * @param isEndless whether streams consist of empty lines without end
     * @param bodyBytes size of a plain answer
     * @param partMs pause in the middle of a plain answer
     * @param shedEach each how many-th request is turned away; 0 if none is
     * @param pauseS what a request that is turned away is told to wait, in seconds
     */
    record Options(
            String id,
            long bornMs,
            int events,
            long gapMs,
            boolean isUnframed,
            boolean isEndless,
            int bodyBytes,
            long partMs,
            int shedEach,
            int pauseS) {
        static Options parse(String[] args) {
            Map<String, String> given = new TreeMap<>();
            for (String arg : args) {
                given.putAll(Splitter.on(' ').withKeyValueSeparator('=').split(arg));
            }
            return new Options(
                    given.get("id"),
                    Long.parseLong(given.get("born")),
                    Integer.parseInt(given.getOrDefault("events", "100")),
                    Long.parseLong(given.getOrDefault("gap", "30")),
                    Boolean.parseBoolean(given.getOrDefault("unframed", "false")),
                    Boolean.parseBoolean(given.getOrDefault("endless", "false")),
                    Integer.parseInt(given.getOrDefault("body", "800")),
                    Long.parseLong(given.getOrDefault("part", "0")),
                    Integer.parseInt(given.getOrDefault("shed", "0")),
                    Integer.parseInt(given.getOrDefault("pause", "0")));
        }
    }

    /** A request's first line, its fields by their names in lower case; its body is dropped. */
    private record Request(String method, String path, Map<String, String> fields) {
        String attempt() {
            return fields.getOrDefault("x-attempt-id", "");
        }
    }

    private BackEnd(Options options) {
        this.options = options;
    }

    public static void main(String[] args) throws IOException {
        new BackEnd(Options.parse(args)).serve();
    }

    private void serve() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress())) {
            System.out.println(PORT + listener.getLocalPort());
            while (true) {
                Socket connection = listener.accept();
                threads.execute(() -> serve(connection));
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            Request request = read(connection);
            if (request != null) {
                answer(request, connection);
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Request read(Socket connection) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
        String first = in.readLine();
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            fields.put(name, line.substring(colon + 1).trim());
        }
        long left = Long.parseLong(fields.getOrDefault("content-length", "0"));
        while (left > 0) {
            long skipped = in.skip(left);
            if (skipped <= 0) {
                return null;
            }
            left -= skipped;
        }
        String[] words = first.split(" ");
        return new Request(words[0], words[1], fields);
    }

    private void answer(Request request, Socket connection)
            throws IOException, InterruptedException {
        OutputStream out = connection.getOutputStream();
        String expected = request.fields().getOrDefault("x-expect-instance", options.id());
        if (!expected.equals(options.id())) {
            write(out, head("421 Misdirected Request", 0, "X-Instance-Id: " + options.id()));
        } else if (request.path().startsWith("/masticweir/report")) {
            write(out, sized(report(), "Content-Type: application/json"));
        } else if (request.path().startsWith("/masticweir/kv-list")) {
            write(
                    out,
                    sized(
                            "{\"epoch\":1,\"next\":1,\"held\":[]}",
                            "Content-Type: application/json"));
        } else if (request.path().startsWith("/healthz")) {
            write(out, sized("ok", "X-Instance-Id: " + options.id()));
        } else {
            run(request, out);
        }
    }

    private void run(Request request, OutputStream out) throws IOException, InterruptedException {
        String attempt = request.attempt();
        int number = requests.incrementAndGet();
        if (options.shedEach() > 0 && number % options.shedEach() == 0) {
            System.out.println("shed " + attempt);
            String pause = options.pauseS() > 0 ? "\r\nRetry-After: " + options.pauseS() : "";
            write(out, head("503 Service Unavailable", 0, "X-Not-Executed: 1" + pause));
            return;
        }
        System.out.println("run " + attempt);
        running.add(attempt);
        try {
            String fields =
                    "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + options.id() + ".seal";
            if (request.path().startsWith(Site.Route.DORMANCY_REPORT.prefix())) {
                stream(request, out, fields);
            } else {
                plain(out, fields);
            }
            System.out.println("end " + attempt);
        } catch (IOException e) {
            System.out.println("left by the caller " + attempt);
            throw e;
        } finally {
            running.remove(attempt);
        }
    }

    private void stream(Request request, OutputStream out, String fields)
            throws IOException, InterruptedException {
        String framing = options.isUnframed() ? "Connection: close" : "Transfer-Encoding: chunked";
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + (fields + "\r\n" + framing + "\r\n\r\n"));
        int sent = Integer.parseInt(request.fields().getOrDefault("last-event-id", "0"));
        for (int event = sent + 1; event <= options.events(); event++) {
            Thread.sleep(options.gapMs());
            piece(out, "id: " + event + "\ndata: piece " + event + "\n\n");
        }
        while (options.isEndless()) {
            piece(out, "\n".repeat(FLOOD_BYTES));
        }
        if (!options.isUnframed()) {
            write(out, "0\r\n\r\n");
        }
    }

    private void piece(OutputStream out, String text) throws IOException {
        write(
                out,
                options.isUnframed()
                        ? text
                        : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private void plain(OutputStream out, String fields) throws IOException, InterruptedException {
        Thread.sleep(options.gapMs());
        int half = options.bodyBytes() / 2;
        String length =
                options.isUnframed() ? "" : "Content-Length: " + options.bodyBytes() + "\r\n";
        write(
                out,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                        + (fields + "\r\n" + length + "\r\n" + "a".repeat(half)));
        Thread.sleep(options.partMs());
        write(out, "b".repeat(options.bodyBytes() - half));
    }

    private String report() {
        List<String> runs = running.stream().map(r -> "[\"" + r + "\",800,1,1]").toList();
        return String.format(
                "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                        + "\"busy\":false,\"seq\":1,\"queued\":0,\"active\":%d,\"kvUsed\":0,"
                        + "\"kvTotal\":88000,\"handles\":0,\"born\":%d,\"state\":\"ready\","
                        + "\"next\":0,\"runs\":[%s]}",
                running.size(), options.bornMs(), String.join(",", runs));
    }

    private static String sized(String body, String field) {
        return head("200 OK", body.length(), field) + body;
    }

    private static String head(String status, int length, String fields) {
        return String.format(
                "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n\r\n",
                status, length, fields);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(US_ASCII));
        out.flush();
    }
}
