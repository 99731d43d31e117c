/**
 * Follows tables of the platform's store: what to ask next, how long to wait, when an answer is
 * overdue, and what a removal is worth after an outage.
 */
package org.masticweir.feed;
