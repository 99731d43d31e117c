/**
 * Decides whether a failed attempt may be retried: only if it is safe, within a budget and in time.
 */
package org.masticweir.retry;
