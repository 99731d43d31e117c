package org.masticweir.error;

/**
 * Says what is known about one submission of a request.
 *
 * <p>A request is named by its key, and each submission of the key may run it. {@link Verdict} is
 * about the request, this about the one submission that is answered.
 */
public enum Submission {
    /** No back end took anything of it, and none will. */
    NOT_SENT,
    /** It may have reached a back end, or the one that did is what it joined. */
    MAY_HAVE_BEEN_SENT
}
