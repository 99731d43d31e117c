/** What a token and a request cost on their way through a router, and how long they take. */
package org.masticweir.bench.path;
