package org.masticweir.testing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server on loopback that answers each call, probes too, with bytes that do not end,
 * until the caller closes. It gives up after {@link #LIMIT_BYTES}, so that a caller that takes them
 * all fails a test and does not stop it.
 */
public final class EndlessServer implements AutoCloseable {
    public static final long LIMIT_BYTES = 96 << 20;

    private static final int BLOCK_BYTES = 16 << 10;
    private static final long BYTE_PAUSE_MS = 20;

    /** Small, so that many connections don't use the processors that their reader needs. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private static final Pattern LENGTH =
            Pattern.compile("(?i)content-length: *(\\d+)", Pattern.MULTILINE);
    private static final String HEAD_END = "\r\n\r\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\n{fields}";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private final Fields fields;
    private final String start;
    private final byte[] block;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong mostBytes = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile Probes probes = Probes.ENDLESS;
    private final CompletableFuture<Void> bytesSent = new CompletableFuture<>();
    private volatile boolean isSlow;
    private volatile long limitBytes = LIMIT_BYTES;

    /** Where the answer does not end. */
    public enum Endless {
        GARBAGE("", "\u0000"),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        FIELD_NAME("HTTP/1.1 200 OK\r\n", "x"),
        FIELD_VALUE("HTTP/1.1 200 OK\r\nX-Any: ", "x"),
        HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "X-Any: x\r\n"),
        INTERIM_HEADS("", "HTTP/1.1 100 Continue\r\n\r\n"),
        CHUNK_SIZE(CHUNKED, "0"),
        CHUNK_EXTENSION(CHUNKED + "4;", "x"),
        TRAILER(CHUNKED + "4\r\nbody\r\n0\r\n", "X-Any: x\r\n"),
        CHUNKS(CHUNKED, "4\r\nbody\r\n"),
        BODY(HEAD + "\r\n", "body"),
        LINES(HEAD + "\r\n", "a line\n"),
        EMPTY_LINES(HEAD + "\r\n", "\n"),
        EVENTS(HEAD + "\r\n", "data: x\n\n"),
        EVENTS_OF_ONE_ID(HEAD + "\r\n", "id: 1\n\n"),
        BODY_OF_A_REFUSAL("HTTP/1.1 503 Service Unavailable\r\n{refusal}{fields}\r\n", "body"),
        /** A whole answer, and what follows on the connection does not end. */
        AFTER_AN_ANSWER(HEAD + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n");

        private final String start;
        private final String rest;

        Endless(String start, String rest) {
            this.start = start;
            this.rest = rest;
        }
    }

    /** How the server answers probes, which carry no id of a send. */
    public enum Probes {
        ENDLESS,
        /** The answer stops after its first bytes. */
        STALL,
        /** No byte is sent. */
        SILENT
    }

    /**
     * Head fields of a vendor's protocol.
     *
     * @param attempt name of the field of a request that has the id of its attempt
     * @param answer fields of each answer; {@code {attempt}} is replaced by the id
     * @param refusal fields of a refusal besides
     */
    public record Fields(String attempt, String answer, String refusal) {
        static final Fields NONE = new Fields("", "", "");

        private Optional<String> attemptOf(String head) {
            Matcher matcher =
                    Pattern.compile("(?im)^" + Pattern.quote(attempt) + ": *(\\S+)").matcher(head);
            return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
        }
    }

    /** Starts a server whose answers have no fields of a vendor. */
    public EndlessServer(Endless kind) throws IOException {
        this(kind, Fields.NONE);
    }

    /** Starts a server whose answers have {@code fields}. */
    public EndlessServer(Endless kind, Fields fields) throws IOException {
        this.fields = fields;
        start = kind.start;
        String rest = kind.rest;
        block = rest.repeat(Math.max(1, BLOCK_BYTES / rest.length())).getBytes(ISO_8859_1);
        listener = new ServerSocket(0, 400, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    public void answerProbes(Probes kind) {
        probes = kind;
    }

    /** From now on each byte follows the one before by some milliseconds, from the first on. */
    public void sendSlowly() {
        isSlow = true;
    }

    /** From now on the server sends until the caller or the test closes. */
    public void neverGiveUp() {
        limitBytes = Long.MAX_VALUE;
    }

    /** Waits until an answer has begun to be without an end. */
    public void awaitBytes() {
        bytesSent.join();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the most bytes that a caller let come on one connection. */
    public long mostBytes() {
        return mostBytes.get();
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
        threads.shutdownNow();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                connection.setSendBufferSize(SEND_BUFFER_BYTES);
                threads.execute(() -> serve(connection));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket connection) {
        long sent = 0;
        try (connection) {
            String head = readHead(connection.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            Optional<String> attempt = fields.attemptOf(head);
            boolean isProbe = attempt.isEmpty();
            if (isProbe && probes == Probes.SILENT) {
                awaitClose(connection);
                return;
            }
            OutputStream out = connection.getOutputStream();
            byte[] first = firstBytes(attempt.orElse(""));
            if (isSlow) {
                sendSlowly(out, first);
            }
            out.write(first);
            if (isProbe && probes == Probes.STALL) {
                awaitClose(connection);
                return;
            }
            while (sent < limitBytes) {
                out.write(block);
                bytesSent.complete(null);
                sent += block.length;
            }
        } catch (IOException e) {
            // The caller has closed the connection, as it should.
        } finally {
            connections.remove(connection);
            long bytes = sent;
            mostBytes.updateAndGet(most -> Math.max(most, bytes));
        }
    }

    private byte[] firstBytes(String attempt) {
        return start.replace("{refusal}", fields.refusal())
                .replace("{fields}", fields.answer())
                .replace("{attempt}", attempt)
                .getBytes(ISO_8859_1);
    }

    /** Sends {@code first} and the rest byte by byte until the caller or the test closes. */
    private void sendSlowly(OutputStream out, byte[] first) throws IOException {
        try {
            for (int i = 0; !closed.await(BYTE_PAUSE_MS, TimeUnit.MILLISECONDS); i++) {
                out.write(i < first.length ? first[i] : block[(i - first.length) % block.length]);
                out.flush();
            }
        } catch (InterruptedException e) {
            throw new InterruptedIOException("the test has ended");
        }
    }

    private static void awaitClose(Socket connection) throws IOException {
        connection.getInputStream().readAllBytes();
    }

    /** Reads a request with its body; returns an empty head at the end of the connection. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(HEAD_END)) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
        return head.toString();
    }
}
