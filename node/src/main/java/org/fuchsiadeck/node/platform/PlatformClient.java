package org.fuchsiadeck.node.platform;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import org.fuchsiadeck.core.Event;
import org.fuchsiadeck.core.platform.PlatformEffect;
import org.fuchsiadeck.core.platform.PlatformEvent;

import static java.util.Objects.requireNonNull;

/**
 * Runs the {@link PlatformEffect}s of the core. Each gives exactly one {@link PlatformEvent} with the same tag.
 */
public final class PlatformClient {
    private final KeyValueStore store;
    private final Consumer<Event> post;

    /**
     * Makes a client.
     *
     * @param store the service
     * @param post takes the events, from any thread; must not block
     */
    public PlatformClient(KeyValueStore store, Consumer<Event> post) {
        this.store = requireNonNull(store, "store");
        this.post = requireNonNull(post, "post");
    }

    /**
     * Starts a call and returns at once.
     *
     * @param effect the call
     */
    public void run(PlatformEffect effect) {
        String tag = effect.tag();
        if (effect instanceof PlatformEffect.Get e) {
            post(tag, store.get(e.key()), f -> new PlatformEvent.Found(tag, f.entry(), f.serviceRevision()));
        } else if (effect instanceof PlatformEffect.Put e) {
            swap(tag, store.put(e.key(), e.value(), e.expectedRevision(), Optional.empty()));
        } else if (effect instanceof PlatformEffect.LeasedPut e) {
            swap(tag, store.put(e.key(), e.value(), e.expectedRevision(), Optional.of(e.lease())));
        } else if (effect instanceof PlatformEffect.Delete e) {
            swap(tag, store.delete(e.key(), e.expectedRevision()));
        } else if (effect instanceof PlatformEffect.ListKeys e) {
            post(
                    tag,
                    store.list(e.prefix(), e.current()),
                    c -> new PlatformEvent.KeysListed(tag, c.entries(), c.serviceRevision()));
        } else if (effect instanceof PlatformEffect.Watch e) {
            post(
                    tag,
                    store.watch(e.prefix(), e.afterRevision(), e.waitMs()),
                    c -> new PlatformEvent.Watched(tag, c.entries(), c.serviceRevision(), c.gap()));
        } else if (effect instanceof PlatformEffect.GrantLease e) {
            post(tag, store.grantLease(e.ttlMs()), id -> new PlatformEvent.LeaseGranted(tag, id));
        } else if (effect instanceof PlatformEffect.RenewLease e) {
            post(tag, store.renewLease(e.lease()), lasts -> new PlatformEvent.LeaseRenewed(tag, lasts));
        }
    }

    private void swap(String tag, CompletionStage<Either<PlatformFailure, KeyValueStore.Swap>> call) {
        post(
                tag,
                call,
                s -> s.done()
                        ? new PlatformEvent.Written(tag, s.revision())
                        : new PlatformEvent.Conflicted(tag, s.revision()));
    }

    private <T> void post(
            String tag, CompletionStage<Either<PlatformFailure, T>> call, Function<T, PlatformEvent> event) {
        call.thenAccept(result ->
                post.accept(result.fold(f -> new PlatformEvent.CallFailed(tag, f.toString(), f.sent()), event)));
    }
}
