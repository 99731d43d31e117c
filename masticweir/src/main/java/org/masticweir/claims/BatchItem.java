package org.masticweir.claims;

import static com.google.common.base.Preconditions.checkNotNull;

/** One claim's write with the number of the claim that receives its outcome; immutable. */
record BatchItem(long claim, ClaimWrite write) {
    BatchItem {
        checkNotNull(write, "write");
    }
}
