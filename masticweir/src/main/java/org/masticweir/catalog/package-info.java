/**
 * What a router knows of its deployment: routes, services, teams and backend servers, and which
 * version of each is the newest.
 *
 * <p>Values are immutable. Nothing here reads a clock or a socket.
 */
package org.masticweir.catalog;
