/**
 * One request's answer: what was asked, the frames that arrive and the tokens accepted from them.
 */
package org.masticweir.generation;
