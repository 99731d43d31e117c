package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one MessagePack array within bounds; closing it skips fields it did not read.
 *
 * <p>Open it in a try-with-resources block, read the known fields in order, and ask {@link
 * #hasMore} before a field that older versions do not send. Not thread-safe.
 */
public final class Fields implements AutoCloseable {
    private final MessageUnpacker in;
    private int left;

    private Fields(MessageUnpacker in, int left) {
        this.in = in;
        this.left = left;
    }

    /** Returns a reader of the array that starts here, which must hold {@code required} fields. */
    public static Fields open(MessageUnpacker in, int required) throws IOException {
        int n = checkNotNull(in, "in").unpackArrayHeader();
        checkArgument(n >= required, "%s fields, %s required", n, required);
        return new Fields(in, n);
    }

    public boolean hasMore() {
        return left > 0;
    }

    public int int32() throws IOException {
        take();
        return in.unpackInt();
    }

    public long int64() throws IOException {
        take();
        return in.unpackLong();
    }

    public double float64() throws IOException {
        take();
        return in.unpackDouble();
    }

    public boolean bool() throws IOException {
        take();
        return in.unpackBoolean();
    }

    /** Returns the next field as text of at most {@code maxBytes} in UTF-8. */
    public String text(int maxBytes) throws IOException {
        take();
        return text(in, maxBytes);
    }

    /** Returns the text that starts here, as an item of a list. */
    public static String text(MessageUnpacker in, int maxBytes) throws IOException {
        int n = in.unpackRawStringHeader();
        checkArgument(n <= maxBytes, "text of %s bytes over %s", n, maxBytes);
        return new String(in.readPayload(n), StandardCharsets.UTF_8);
    }

    /** Returns the next field as at most {@code maxBytes} bytes. */
    public byte[] bytes(int maxBytes) throws IOException {
        take();
        int n = in.unpackBinaryHeader();
        checkArgument(n <= maxBytes, "%s bytes over %s", n, maxBytes);
        return in.readPayload(n);
    }

    /** Returns the next field as a list of at most {@code maxItems}, each read by {@code item}. */
    public <T> ImmutableList<T> list(int maxItems, ItemReader<T> item) throws IOException {
        take();
        int n = in.unpackArrayHeader();
        checkArgument(n <= maxItems, "list of %s items over %s", n, maxItems);
        ImmutableList.Builder<T> items = ImmutableList.builder();
        for (int i = 0; i < n; i++) {
            items.add(item.read(in));
        }
        return items.build();
    }

    /** Returns the next field, an array of its own that {@code item} reads. */
    public <T> T nested(ItemReader<T> item) throws IOException {
        take();
        return item.read(in);
    }

    @Override
    public void close() throws IOException {
        in.skipValue(left);
        left = 0;
    }

    private void take() {
        checkArgument(left > 0, "no field left");
        left--;
    }

    /** Reads one item of a list, or one nested array, to its end. */
    @FunctionalInterface
    public interface ItemReader<T> {
        T read(MessageUnpacker in) throws IOException;
    }
}
