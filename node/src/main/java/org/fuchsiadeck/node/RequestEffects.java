package org.fuchsiadeck.node;

import java.util.function.Consumer;

import org.fuchsiadeck.core.model.RequestId;
import org.fuchsiadeck.core.request.RequestEffect;
import org.fuchsiadeck.node.backend.BackendClient;
import org.fuchsiadeck.node.exchange.Exchange;
import org.fuchsiadeck.node.exchange.Exchanges;
import org.fuchsiadeck.node.exchange.Refusal;
import org.fuchsiadeck.node.run.EffectHandler;

/**
 * Runs the effects of the requests. Effects of requests that were released do nothing.
 */
final class RequestEffects implements EffectHandler<RequestEffect> {
    private final Exchanges exchanges;
    private final BackendClient backends;

    RequestEffects(Exchanges exchanges, BackendClient backends) {
        this.exchanges = exchanges;
        this.backends = backends;
    }

    @Override
    public void handle(RequestEffect effect) {
        if (effect instanceof RequestEffect.Dispatch dispatch) {
            with(dispatch.id(), e -> backends.dispatch(e, dispatch));
        } else if (effect instanceof RequestEffect.Cancel cancel) {
            with(cancel.id(), e -> backends.cancel(e, cancel.attempt()));
        } else if (effect instanceof RequestEffect.Relay relay) {
            with(relay.id(), e -> e.relay(relay.attempt()));
        } else if (effect instanceof RequestEffect.EndStream end) {
            with(end.id(), Exchange::endStream);
        } else if (effect instanceof RequestEffect.Respond respond) {
            with(respond.id(), e -> e.refuse(Refusal.of(respond)));
        } else if (effect instanceof RequestEffect.Release release) {
            exchanges.release(release.id());
        }
    }

    private void with(RequestId id, Consumer<Exchange> action) {
        exchanges.find(id).ifPresent(action);
    }
}
