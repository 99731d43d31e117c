/** The HTTP pieces that all stand-ins share: a small server, JSON bodies and the pause. */
package org.masticweir.standins.http;
