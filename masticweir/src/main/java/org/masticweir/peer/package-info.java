/**
 * Framed TCP links between routers: one per peer and direction in use, carrying typed messages.
 *
 * <p>A frame is a 4-byte length and MessagePack values: protocol version, message type, correlation
 * id (0 for one-way) and the fields that the message's own codec writes. Other packages bring their
 * messages with a {@link org.masticweir.peer.MessageCodec}; this one knows only links.
 */
package org.masticweir.peer;
