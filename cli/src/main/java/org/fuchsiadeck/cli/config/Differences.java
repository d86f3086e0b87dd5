package org.fuchsiadeck.cli.config;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.fuchsiadeck.core.config.Configuration;
import org.fuchsiadeck.node.config.Accepted;
import org.fuchsiadeck.node.config.ConfigDiff;
import org.fuchsiadeck.node.config.ConfigParser;

/**
 * The differences of two configurations as output.
 */
final class Differences {
    private Differences() {}

    /** Reads an accepted configuration. The error is one line. */
    static Either<String, Configuration> parse(Accepted accepted) {
        return ConfigParser.parse(accepted.envelope().text(), accepted.revision())
                .mapLeft(errors -> "revision " + accepted.revision() + " cannot be read: " + errors.get(0));
    }

    /** Returns one object for each value that differs. */
    static ArrayNode json(List<ConfigDiff.Change> changes) {
        ArrayNode out = StoreCommand.JSON.createArrayNode();
        changes.forEach(c -> out.addObject()
                .put("value", c.path())
                .put("before", c.before().orElse(null))
                .put("after", c.after().orElse(null)));
        return out;
    }
}
