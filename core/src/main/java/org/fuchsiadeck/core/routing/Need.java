package org.fuchsiadeck.core.routing;

import java.util.Optional;

import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * The requirements, except for the version, that a backend server must meet to take a request.
 *
 * @param service the service
 * @param kind the protocol that the server must speak
 * @param model the model that the server must have loaded, if any
 * @param adapter the adapter that the server must have loaded, if any
 */
public record Need(String service, Backend.Kind kind, Optional<String> model, Optional<String> adapter) {
    public Need {
        requireNonNull(service, "service");
        requireNonNull(kind, "kind");
        requireNonNull(model, "model");
        requireNonNull(adapter, "adapter");
    }

    /**
     * Returns whether a server meets the requirements.
     *
     * @param backend the server
     * @return whether it meets them
     */
    public boolean isMetBy(Backend backend) {
        return service.equals(backend.service())
                && kind == backend.kind()
                && model.map(backend.models()::contains).orElse(true)
                && adapter.map(backend.adapters()::contains).orElse(true);
    }
}
