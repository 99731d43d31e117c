package org.masticweir.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection. */
final class HttpReader {
    private final InputStream in;

    HttpReader(InputStream in) {
        this.in = in;
    }

    /**
     * Head of a message.
     *
     * @param startLine request line or status line
     * @param fields header fields by name in lower case
     */
    record Head(String startLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Returns the next head. */
    Head readHead() throws IOException {
        String startLine = readLine();
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            fields.put(name, line.substring(colon + 1).trim());
        }
        return new Head(startLine, fields);
    }

    /** Returns the body of the message that {@code head} begins. */
    byte[] readBody(Head head) throws IOException {
        if (head.field("transfer-encoding").equals("chunked")) {
            return readChunks();
        }
        String length = head.field("content-length");
        return readExactly(length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.writeBytes(readExactly(size));
            readLine();
        }
        readLine();
        return body.toByteArray();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().trim(), 16);
    }

    private byte[] readExactly(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended within a head");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
