package org.masticweir.it;

import com.google.common.collect.ImmutableList;

/** Checks one promise against the records of a run; immutable. */
interface PromiseCheck {
    /** All promises, each with its check. */
    ImmutableList<PromiseCheck> ALL =
            ImmutableList.of(
                    new TokensOnceCheck(),
                    new OwnAnswerCheck(),
                    new EndingCheck(),
                    new NotRunCheck(),
                    new AtMostOnceCheck(),
                    new ConfigurationCheck(),
                    new LeavingCheck(),
                    new DrainCheck());

    String name();

    /** Returns every violation found, each as a sentence. */
    ImmutableList<String> violations(FaultRun run);
}
