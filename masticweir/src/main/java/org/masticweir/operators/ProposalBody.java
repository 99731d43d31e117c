package org.masticweir.operators;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.masticweir.error.ErrorCode;
import org.masticweir.error.MasticweirException;

/** The body of a proposal as JSON brings it; every field may be missing. */
record ProposalBody(
        @Nullable Long baseRevision,
        @Nullable String changeId,
        @Nullable String author,
        @Nullable String document,
        @Nullable Boolean dryRun) {

    /** Reads a body; {@code bytes} is the whole of it. */
    static ConfigProposal parse(byte[] bytes) {
        return OperatorJson.read(bytes, ProposalBody.class).toProposal();
    }

    private ConfigProposal toProposal() {
        try {
            return new ConfigProposal(
                    required(baseRevision, "base_revision"),
                    required(changeId, "change_id"),
                    required(author, "author"),
                    required(document, "document"),
                    Boolean.TRUE.equals(dryRun));
        } catch (IllegalArgumentException e) {
            throw MasticweirException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
        }
    }

    private static <T> T required(@Nullable T value, String name) {
        return Optional.ofNullable(value)
                .orElseThrow(
                        () ->
                                MasticweirException.notRun(
                                        ErrorCode.BAD_REQUEST, name + " is missing"));
    }
}
