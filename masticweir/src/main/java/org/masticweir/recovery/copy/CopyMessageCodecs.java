package org.masticweir.recovery.copy;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import org.masticweir.id.RequestId;
import org.masticweir.id.RouterId;
import org.masticweir.peer.Fields;
import org.masticweir.peer.FieldsCodec;
import org.masticweir.peer.MessageCodec;
import org.masticweir.recovery.copy.CopyMessage.AppendBatch;
import org.masticweir.recovery.copy.CopyMessage.AppendReplies;
import org.masticweir.recovery.copy.CopyMessage.FenceCopy;
import org.masticweir.recovery.copy.CopyMessage.FindCopy;
import org.masticweir.recovery.copy.CopyMessage.FoundCopy;
import org.masticweir.recovery.copy.CopyMessage.HolderReply;
import org.masticweir.recovery.copy.CopyMessage.KeyOwner;
import org.masticweir.recovery.copy.CopyMessage.ReadTokens;
import org.masticweir.recovery.copy.CopyMessage.RegisterKey;
import org.masticweir.recovery.copy.CopyMessage.ReleaseKey;
import org.masticweir.recovery.copy.CopyMessage.Subscribe;
import org.masticweir.recovery.copy.CopyMessage.Subscribed;
import org.masticweir.recovery.copy.CopyMessage.SubscribedTokens;
import org.masticweir.recovery.copy.CopyMessage.TakeOverCopy;
import org.masticweir.recovery.copy.CopyMessage.WholeCopy;
import org.masticweir.recovery.copy.CopyMessage.WithdrawCopy;

/** The codecs of all messages about copies and keys, for the registry of a router's links. */
public final class CopyMessageCodecs {
    static final int WHOLE_COPY = 48;
    static final int APPEND_BATCH = 49;
    static final int APPEND_REPLIES = 50;
    static final int HOLDER_REPLY = 51;
    static final int FIND_COPY = 52;
    static final int FOUND_COPY = 53;
    static final int TAKE_OVER_COPY = 54;
    static final int FENCE_COPY = 55;
    static final int SUBSCRIBE = 56;
    static final int SUBSCRIBED = 57;
    static final int READ_TOKENS = 58;
    static final int SUBSCRIBED_TOKENS = 59;

    static final int WITHDRAW_COPY = 60;
    static final int REGISTER_KEY = 61;
    static final int KEY_OWNER = 62;
    static final int RELEASE_KEY = 63;

    private static final int MAX_APPENDS = 1 << 16;

    private CopyMessageCodecs() {}

    /** Returns the codecs; they take the type numbers from 48 to 63. */
    public static ImmutableList<MessageCodec<?>> all() {
        return ImmutableList.<MessageCodec<?>>builder()
                .addAll(ofOwners())
                .addAll(ofLookups())
                .addAll(ofReaders())
                .addAll(ofKeys())
                .build();
    }

    private static ImmutableList<MessageCodec<?>> ofOwners() {
        return ImmutableList.of(
                FieldsCodec.of(
                        WHOLE_COPY,
                        WholeCopy.class,
                        2,
                        (m, out) -> {
                            out.packBoolean(m.opening());
                            ValueCodec.one(out, m.copy(), ValueCodec::copy);
                        },
                        f -> new WholeCopy(f.bool(), ValueCodec.one(f, ValueCodec::copy))),
                FieldsCodec.of(
                        APPEND_BATCH,
                        AppendBatch.class,
                        2,
                        (m, out) -> {
                            out.packString(m.owner().value());
                            out.packArrayHeader(m.appends().size());
                            for (CopyCommand.Append a : m.appends()) {
                                HolderCodec.append(out, a);
                            }
                        },
                        CopyMessageCodecs::batch),
                FieldsCodec.of(
                        APPEND_REPLIES,
                        AppendReplies.class,
                        1,
                        (m, out) -> {
                            out.packArrayHeader(m.answers().size());
                            for (HolderAnswer a : m.answers()) {
                                HolderCodec.answer(out, a);
                            }
                        },
                        f -> new AppendReplies(f.list(MAX_APPENDS, HolderCodec::answer))));
    }

    private static ImmutableList<MessageCodec<?>> ofLookups() {
        return ImmutableList.of(
                FieldsCodec.of(
                        HOLDER_REPLY,
                        HolderReply.class,
                        1,
                        (m, out) -> ValueCodec.one(out, m.answer(), HolderCodec::answer),
                        f -> new HolderReply(ValueCodec.one(f, HolderCodec::answer))),
                FieldsCodec.of(
                        FIND_COPY,
                        FindCopy.class,
                        1,
                        (m, out) -> out.packString(m.request().value()),
                        f -> new FindCopy(request(f))),
                FieldsCodec.of(
                        FOUND_COPY,
                        FoundCopy.class,
                        1,
                        (m, out) -> ValueCodec.optional(out, m.summary(), HolderCodec::summary),
                        f -> new FoundCopy(ValueCodec.optional(f, HolderCodec::summary))),
                FieldsCodec.of(
                        TAKE_OVER_COPY,
                        TakeOverCopy.class,
                        2,
                        (m, out) -> {
                            out.packString(m.request().value());
                            ValueCodec.one(out, m.expected(), ValueCodec::epoch);
                        },
                        f -> new TakeOverCopy(request(f), ValueCodec.one(f, ValueCodec::epoch))),
                FieldsCodec.of(
                        FENCE_COPY,
                        FenceCopy.class,
                        2,
                        (m, out) -> {
                            out.packString(m.request().value());
                            ValueCodec.one(out, m.epoch(), ValueCodec::epoch);
                        },
                        f -> new FenceCopy(request(f), ValueCodec.one(f, ValueCodec::epoch))));
    }

    private static ImmutableList<MessageCodec<?>> ofReaders() {
        return ImmutableList.of(
                FieldsCodec.of(
                        SUBSCRIBE,
                        Subscribe.class,
                        1,
                        (m, out) -> out.packString(m.request().value()),
                        f -> new Subscribe(request(f))),
                FieldsCodec.of(
                        SUBSCRIBED,
                        Subscribed.class,
                        2,
                        (m, out) -> {
                            ValueCodec.one(out, m.spec(), ValueCodec::spec);
                            ValueCodec.one(out, m.generation(), ValueCodec::generation);
                        },
                        f ->
                                new Subscribed(
                                        ValueCodec.one(f, ValueCodec::spec),
                                        ValueCodec.one(f, ValueCodec::generation))),
                FieldsCodec.of(
                        READ_TOKENS,
                        ReadTokens.class,
                        3,
                        (m, out) -> {
                            out.packString(m.request().value());
                            out.packInt(m.generation());
                            out.packInt(m.from());
                        },
                        f -> new ReadTokens(request(f), f.int32(), f.int32())),
                FieldsCodec.of(
                        SUBSCRIBED_TOKENS,
                        SubscribedTokens.class,
                        4,
                        (m, out) -> {
                            out.packInt(m.generation());
                            out.packInt(m.from());
                            ValueCodec.tokens(out, m.tokens());
                            ValueCodec.optional(out, m.end(), ValueCodec::end);
                        },
                        f ->
                                new SubscribedTokens(
                                        f.int32(),
                                        f.int32(),
                                        ValueCodec.tokens(f),
                                        ValueCodec.optional(f, ValueCodec::end))));
    }

    private static ImmutableList<MessageCodec<?>> ofKeys() {
        return ImmutableList.of(
                FieldsCodec.of(
                        WITHDRAW_COPY,
                        WithdrawCopy.class,
                        2,
                        (m, out) -> {
                            out.packString(m.request().value());
                            ValueCodec.one(out, m.epoch(), ValueCodec::epoch);
                        },
                        f -> new WithdrawCopy(request(f), ValueCodec.one(f, ValueCodec::epoch))),
                FieldsCodec.of(
                        REGISTER_KEY,
                        RegisterKey.class,
                        3,
                        (m, out) -> {
                            out.packString(m.request().value());
                            out.packString(m.asking().value());
                            out.packBoolean(m.passedOn());
                        },
                        f -> new RegisterKey(request(f), router(f), f.bool())),
                FieldsCodec.of(
                        KEY_OWNER,
                        KeyOwner.class,
                        1,
                        (m, out) -> out.packString(m.owner().value()),
                        f -> new KeyOwner(router(f))),
                FieldsCodec.of(
                        RELEASE_KEY,
                        ReleaseKey.class,
                        3,
                        (m, out) -> {
                            out.packString(m.request().value());
                            out.packString(m.owner().value());
                            out.packBoolean(m.passedOn());
                        },
                        f -> new ReleaseKey(request(f), router(f), f.bool())));
    }

    private static RouterId router(Fields f) throws IOException {
        return RouterId.of(f.text(ValueCodec.MAX_ID_BYTES));
    }

    private static RequestId request(Fields f) throws IOException {
        return RequestId.of(f.text(ValueCodec.MAX_ID_BYTES));
    }

    private static AppendBatch batch(Fields f) throws IOException {
        RouterId owner = router(f);
        return new AppendBatch(owner, f.list(MAX_APPENDS, in -> HolderCodec.append(in, owner)));
    }
}
