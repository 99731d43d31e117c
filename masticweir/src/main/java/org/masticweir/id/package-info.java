/** Value types for every identifier that crosses a process boundary. */
package org.masticweir.id;
