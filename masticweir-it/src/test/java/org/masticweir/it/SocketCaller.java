package org.masticweir.it;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.masticweir.bench.caller.CallRequest;
import org.masticweir.http.IpAddress;
import org.masticweir.id.RequestId;
import org.masticweir.id.TeamId;

/** A caller that reads its connection only when told to, or drops it; not thread-safe. */
final class SocketCaller implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int READ_TIMEOUT_MS = 15_000;

    private final Socket socket = new Socket();
    private final BufferedReader lines;
    private final InetSocketAddress router;

    private SocketCaller(InetSocketAddress router) {
        this.router = checkNotNull(router, "router");
        try {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(router);
            lines = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static SocketCaller connect(InetSocketAddress router) {
        return new SocketCaller(router);
    }

    /** Sends the submission of {@code request} and reads nothing. */
    void submit(CallRequest request) {
        String body = request.body();
        write(
                head("POST /v1/requests", request)
                        + "Content-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** Asks {@code times} in a row for the answer of {@code request} and reads nothing. */
    void readAgain(CallRequest request, int times) {
        RequestId id = RequestId.forKey(TeamId.of(request.team()), request.key());
        write((head("GET /v1/requests/" + id, request) + "\r\n").repeat(times));
    }

    /** Reads the next token's event; fails if it is not the one at {@code index}. */
    void awaitToken(int index) {
        String id = nextLine("id: ");
        if (!id.endsWith(":" + index)) {
            throw new AssertionError("token " + index + " expected, " + id + " came");
        }
    }

    /** Returns the next line of the answer that starts with {@code prefix}, without it. */
    String nextLine(String prefix) {
        try {
            String line = lines.readLine();
            while (line != null && !line.startsWith(prefix)) {
                line = lines.readLine();
            }
            if (line == null) {
                throw new AssertionError("the answer ended before a line " + prefix);
            }
            return line.substring(prefix.length());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String head(String start, CallRequest request) {
        return start
                + " HTTP/1.1\r\nHost: "
                + IpAddress.text(router)
                + "\r\nAuthorization: Bearer "
                + request.credential()
                + "\r\nMasticweir-Team: "
                + request.team()
                + "\r\n";
    }

    private void write(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(US_ASCII));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
