package org.fuchsiadeck.core.routing;

import java.util.Optional;

import org.fuchsiadeck.core.model.Backend;

import static java.util.Objects.requireNonNull;

/**
 * What a backend server must be able to do to take a request, its version aside.
 *
 * @param service the service
 * @param kind what the server must speak
 * @param model the model it must hold, if any
 * @param adapter the adapter it must hold, if any
 */
public record Need(String service, Backend.Kind kind, Optional<String> model, Optional<String> adapter) {
    public Need {
        requireNonNull(service, "service");
        requireNonNull(kind, "kind");
        requireNonNull(model, "model");
        requireNonNull(adapter, "adapter");
    }

    /**
     * Tells whether a server can take such requests.
     *
     * @param backend the server
     * @return whether it can
     */
    public boolean isMetBy(Backend backend) {
        return service.equals(backend.service())
                && kind == backend.kind()
                && model.map(backend.models()::contains).orElse(true)
                && adapter.map(backend.adapters()::contains).orElse(true);
    }
}
