/** HTTP in and out of a router: the caller for short exchanges stands here. */
package org.masticweir.http;
