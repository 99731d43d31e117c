package org.masticweir.control;

/** What operators may ask of a domain's control; implementations are thread-safe. */
public interface ControlQueries {
    /** Returns the view as of the last tick. */
    ControlView view();
}
