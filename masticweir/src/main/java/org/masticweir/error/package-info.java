/** Unchecked exceptions with codes, and the verdict on whether a request may have run. */
package org.masticweir.error;
