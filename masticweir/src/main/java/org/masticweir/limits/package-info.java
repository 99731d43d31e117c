/**
 * Decides what work is let in, in which order, and what is refused early enough to be of use.
 *
 * <p>Class targets drive it: work that is predicted to miss its target is refused at once with the
 * time to come back, classes and teams share what there is, and recoveries of lost generations go
 * ahead of new work, metered.
 */
package org.masticweir.limits;
