package org.masticweir.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How an engine answers wrongly when it is asked to go on from a prefix or to read again. */
enum WrongResume {
    @JsonProperty("none")
    NONE,
    /** The frames carry the next generation's number and its tokens. */
    @JsonProperty("generation")
    GENERATION,
    /** The frames begin one token late. */
    @JsonProperty("index")
    INDEX
}
