/** What the threads of a router share. */
package org.masticweir.concurrent;
