package org.fuchsiadeck.node.config;

import org.fuchsiadeck.core.model.Checks;

import static java.util.Objects.requireNonNull;

/**
 * A configuration that an operator wants accepted.
 *
 * @param text the configuration in TOML
 * @param operator who wants it
 * @param reason why
 * @param baseRevision the revision that the text was made from; 0 if there was none
 * @param writeId names the write, unique
 */
public record Proposal(String text, String operator, String reason, long baseRevision, String writeId) {
    private static final int MAX_NAME_LENGTH = 100;
    private static final int MAX_REASON_LENGTH = 1_000;

    public Proposal {
        requireNonNull(text, "text");
        Checks.notBlank(operator, "operator");
        Checks.inRange(operator.length(), 1, MAX_NAME_LENGTH, "the length of operator");
        Checks.notBlank(reason, "reason");
        Checks.inRange(reason.length(), 1, MAX_REASON_LENGTH, "the length of reason");
        Checks.inRange(baseRevision, 0, Long.MAX_VALUE, "baseRevision");
        Checks.notBlank(writeId, "writeId");
    }
}
