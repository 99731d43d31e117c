package org.masticweir.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;

/** The codecs of all message types that a router knows; immutable. */
public final class MessageRegistry {
    private final ImmutableMap<Integer, MessageCodec<?>> byType;
    private final ImmutableMap<Class<?>, MessageCodec<?>> byClass;

    private MessageRegistry(List<MessageCodec<?>> codecs) {
        ImmutableMap.Builder<Integer, MessageCodec<?>> types = ImmutableMap.builder();
        ImmutableMap.Builder<Class<?>, MessageCodec<?>> classes = ImmutableMap.builder();
        for (MessageCodec<?> c : codecs) {
            types.put(c.type(), c);
            classes.put(c.messageType(), c);
        }
        byType = types.buildOrThrow();
        byClass = classes.buildOrThrow();
    }

    /** Returns a registry of {@code codecs}; a type number or class given twice is refused. */
    public static MessageRegistry of(List<MessageCodec<?>> codecs) {
        for (MessageCodec<?> c : codecs) {
            checkArgument(
                    c.type() >= MessageCodec.FIRST_FREE_TYPE, "type %s is reserved", c.type());
        }
        return new MessageRegistry(
                ImmutableList.<MessageCodec<?>>builder()
                        .add(Hello.CODEC, Failure.CODEC, Probe.CODEC)
                        .addAll(codecs)
                        .build());
    }

    Optional<MessageCodec<?>> forType(int type) {
        return Optional.ofNullable(byType.get(type));
    }

    @SuppressWarnings("unchecked") // The constructor files each codec under its own message class.
    <T extends PeerMessage> MessageCodec<T> codecOf(T message) {
        MessageCodec<?> c = byClass.get(checkNotNull(message, "message").getClass());
        checkArgument(c != null, "no codec for %s", message.getClass());
        return (MessageCodec<T>) c;
    }
}
