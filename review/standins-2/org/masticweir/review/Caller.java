package org.masticweir.review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A caller that sends each request on a connection of its own. */
final class Caller {
    private final int port;

    Caller(int port) {
        this.port = port;
    }

    /**
     * What a caller got.
     *
     * @param head empty if no whole head came
     * @param isComplete whether the body is whole by the head's length or chunks
     * @param end why the exchange ended
     */
    record Answer(int status, String head, byte[] body, boolean isComplete, String end) {
        static Answer none(String end) {
            return new Answer(0, "", new byte[0], false, end);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        @Override
        public String toString() {
            return (status == 0 ? "no answer" : "status " + status)
                    + (isComplete ? ", complete" : ", incomplete")
                    + ", body of " + body.length + ", " + end;
        }
    }

    /** Sends {@code head}, which lacks the empty line, and {@code body}, and reads the answer. */
    Answer call(String head, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket(Bed.HOST, port)) {
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            return Answer.none("nothing in " + timeoutMs + " ms");
        } catch (IOException e) {
            return Answer.none(e.getMessage());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        RecordingStream recorded = new RecordingStream(in);
        HttpReader reader = new HttpReader(recorded);
        HttpReader.Head head = reader.readHead();
        String text = recorded.text();
        try {
            byte[] body = reader.readBody(head);
            return new Answer(head.status(), text, body, true, "whole");
        } catch (IOException e) {
            byte[] part = recorded.bytes();
            byte[] body = Arrays.copyOfRange(part, text.length(), part.length);
            return new Answer(head.status(), text, body, false, e.getMessage());
        }
    }

    /** Keeps what was read. */
    private static final class RecordingStream extends InputStream {
        private final InputStream in;
        private final ByteArrayOutputStream copy = new ByteArrayOutputStream();

        RecordingStream(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            int b = in.read();
            if (b >= 0) {
                copy.write(b);
            }
            return b;
        }

        @Override
        public int read(byte[] bytes, int start, int length) throws IOException {
            int count = in.read(bytes, start, length);
            if (count > 0) {
                copy.write(bytes, start, count);
            }
            return count;
        }

        byte[] bytes() {
            return copy.toByteArray();
        }

        String text() {
            return copy.toString(StandardCharsets.ISO_8859_1);
        }
    }
}
