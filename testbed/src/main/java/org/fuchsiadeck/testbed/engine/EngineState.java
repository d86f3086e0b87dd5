package org.fuchsiadeck.testbed.engine;

import java.util.List;

import static java.util.Objects.requireNonNull;

/**
 * What an engine holds, or is wanted to hold.
 *
 * @param version the version
 * @param models the models it serves; any if empty
 * @param adapters the adapters it holds
 * @param role the role it takes
 */
public record EngineState(String version, List<String> models, List<String> adapters, String role) {
    public EngineState {
        requireNonNull(version, "version");
        models = models == null ? List.of() : List.copyOf(models);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    boolean serves(CompletionRequest request) {
        boolean model = models.isEmpty() || request.model() == null || models.contains(request.model());
        return model && (request.adapter() == null || adapters.contains(request.adapter()));
    }
}
