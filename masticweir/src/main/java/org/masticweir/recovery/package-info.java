/**
 * Decides how one request goes on through the loss, silence and return of engines.
 *
 * <p>Pure: events and the time come in, actions go out.
 */
package org.masticweir.recovery;
