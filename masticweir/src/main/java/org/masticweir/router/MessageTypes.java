package org.masticweir.router;

/** Numbers of the message types that the router's own control exchanges; never reused. */
final class MessageTypes {
    static final int CONFIG_ASK = 64;
    static final int CONFIG_OFFER = 65;
    static final int SHARE_NEWS = 75;

    private MessageTypes() {}
}
