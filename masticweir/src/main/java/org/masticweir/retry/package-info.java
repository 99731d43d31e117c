/**
 * Decides whether a failed attempt may be sent again: only what is safe, within a budget, in time.
 */
package org.masticweir.retry;
