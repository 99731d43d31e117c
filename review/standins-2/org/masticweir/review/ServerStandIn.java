package org.masticweir.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A back-end server as a process: registers itself in the store, serves one request on each
 * connection, and prints a line for each request that it runs.
 */
public final class ServerStandIn {
    static final String FIRST_PART = "first half of the answer, ";
    static final String SECOND_PART = "second half of the answer.";
    static final String WHOLE_BODY = FIRST_PART + SECOND_PART;

    /** Begins the line that is printed for each request that runs. */
    static final String RUN = "run ";

    static final long UNFRAMED_PAUSE_MS = 1_500;

    /** Time until the first event of a stream: 8,000 prompt tokens, 8 of them in a ms. */
    static final long PREFILL_MS = 1_000;

    static final int EVENTS = 140;

    /** Time between two events: 8 tokens at a step of 4 ms. */
    static final long EVENT_MS = 32;

    private static final int BACKLOG = 256;
    private static final long HEARTBEAT_MS = 1_200;
    private static final String CRLF = "\r\n";

    private final String id;
    private final Behaviour behaviour;
    private final AtomicInteger requestCount = new AtomicInteger();

    /** How a server answers a request. */
    enum Behaviour {
        /** At once, with a body of known length. */
        PROMPT {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                exchange.run();
                exchange.answer("200 OK", WHOLE_BODY);
            }
        },
        /** In two parts with a pause between; the end of the connection ends the body. */
        UNFRAMED {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                exchange.run();
                exchange.writeHead("200 OK", "Connection: close" + CRLF);
                exchange.write(FIRST_PART);
                sleep(UNFRAMED_PAUSE_MS);
                exchange.write(SECOND_PART);
            }
        },
        /** A series of numbered events, as a model server writes a report. */
        STREAM {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                exchange.run();
                sleep(PREFILL_MS);
                exchange.writeHead(
                        "200 OK",
                        "Content-Type: text/event-stream" + CRLF
                                + "Transfer-Encoding: chunked" + CRLF);
                for (int i = 1; i <= EVENTS; i++) {
                    exchange.writeChunk("id: " + i + "\ndata: piece " + i + "\n\n");
                    sleep(EVENT_MS);
                }
                exchange.write("0" + CRLF + CRLF);
            }
        },
        /** Turns one request in twenty away, and asks for a pause of one second. */
        PAUSING {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                answerOrPause(exchange, number, "1");
            }
        },
        /** Like {@link #PAUSING}, but the answer that asks for the pause is spoilt. */
        PAUSING_SPOILT {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                answerOrPause(exchange, number, SPOILT_NUMBER);
            }
        },
        /** Runs each request, and then fails two in five; its health stays good. */
        GREY {
            @Override
            void answer(Exchange exchange, int number) throws IOException {
                exchange.run();
                if (number % 5 < 2) {
                    exchange.answer("503 Service Unavailable", "the calendar did not answer");
                } else {
                    exchange.answer("200 OK", WHOLE_BODY);
                }
            }
        };

        private static final int REQUESTS_PER_PAUSE = 20;

        /** No number of seconds by the grammar of HTTP, which has digits only. */
        private static final String SPOILT_NUMBER = "1e20000000";

        abstract void answer(Exchange exchange, int number) throws IOException;

        private static void answerOrPause(Exchange exchange, int number, String seconds)
                throws IOException {
            if (number % REQUESTS_PER_PAUSE == 0) {
                exchange.write(
                        "HTTP/1.1 503 Service Unavailable" + CRLF + "X-Not-Executed: 1" + CRLF
                                + "Retry-After: " + seconds + CRLF + "Content-Length: 0" + CRLF
                                + CRLF);
            } else {
                exchange.run();
                exchange.answer("200 OK", WHOLE_BODY);
            }
        }
    }

    private ServerStandIn(String id, Behaviour behaviour) {
        this.id = id;
        this.behaviour = behaviour;
    }

    /** Takes the server's port, id, service, domain, behaviour, and the port of the store. */
    public static void main(String[] args) throws IOException {
        int port = Integer.parseInt(args[0]);
        Behaviour behaviour = Behaviour.valueOf(args[4].toUpperCase(Locale.ROOT));
        ServerStandIn server = new ServerStandIn(args[1], behaviour);
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(
                    new InetSocketAddress(InetAddress.getByName(Bed.HOST), port), BACKLOG);
            StoreClient store = new StoreClient(Integer.parseInt(args[5]));
            String entry = entry(args[2], port, args[3], System.currentTimeMillis());
            startThread("heartbeat", () -> server.beat(entry, store));
            while (true) {
                Socket connection = socket.accept();
                startThread("connection", () -> server.serve(connection));
            }
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the entry of a server in the store, with a place for its sequence number. */
    private static String entry(String service, int port, String domain, long bornMs) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + Bed.HOST + ":" + port
                + "\",\"zone\":\"" + domain + "\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"ready\",\"warmupLeftMs\":0,\"born\":" + bornMs + ",\"seq\":%d}";
    }

    private void beat(String entry, StoreClient store) {
        for (long seq = 1; true; seq++) {
            try {
                store.put("servers", id, String.format(Locale.ROOT, entry, seq));
            } catch (IOException e) {
                System.out.println("no heartbeat: " + e.getMessage());
            }
            sleep(HEARTBEAT_MS);
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            HttpReader reader = new HttpReader(connection.getInputStream());
            HttpReader.Head head = reader.readHead();
            reader.readBody(head);
            Exchange exchange = new Exchange(head, connection.getOutputStream());
            String expected = head.field("x-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                exchange.answer("421 Misdirected Request", "");
            } else if (head.startLine().startsWith("GET /healthz ")) {
                exchange.writeHead(
                        "200 OK", "X-Instance-Id: " + id + CRLF + "Content-Length: 0" + CRLF);
            } else {
                behaviour.answer(exchange, requestCount.incrementAndGet());
            }
        } catch (IOException e) {
            System.out.println("a connection ended, " + e.getMessage());
        }
    }

    private static void sleep(long ms) {
        Bed.sleep(ms);
    }

    /** One request that is being answered. */
    private static final class Exchange {
        private final String attempt;
        private final OutputStream out;

        Exchange(HttpReader.Head request, OutputStream out) {
            attempt = request.field("x-attempt-id");
            this.out = out;
        }

        /** Does the work of the request. */
        void run() {
            System.out.println(RUN + attempt);
        }

        void answer(String status, String body) throws IOException {
            writeHead(status, "Content-Length: " + body.length() + CRLF);
            write(body);
        }

        /** Writes the head of a signed answer with {@code fields}. */
        void writeHead(String status, String fields) throws IOException {
            write("HTTP/1.1 " + status + CRLF + "X-Attempt-Id: " + attempt + CRLF
                    + "X-Server-Seal: seal." + attempt + CRLF + fields + CRLF);
        }

        void writeChunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + CRLF + text + CRLF);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
