/**
 * Decides whether a failed attempt is retried. A retry must be safe, within the retry budget and in
 * time.
 */
package org.masticweir.retry;
