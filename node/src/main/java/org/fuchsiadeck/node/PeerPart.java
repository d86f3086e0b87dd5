package org.fuchsiadeck.node;

import java.util.List;

import org.fuchsiadeck.core.Effect;
import org.fuchsiadeck.core.Identity;
import org.fuchsiadeck.core.membership.MembershipEffect;
import org.fuchsiadeck.node.config.ConfigCodecs;
import org.fuchsiadeck.node.peer.ClaimCodecs;
import org.fuchsiadeck.node.peer.DepartureCodecs;
import org.fuchsiadeck.node.peer.LimitCodecs;
import org.fuchsiadeck.node.peer.MembershipCodecs;
import org.fuchsiadeck.node.peer.PeerCodecs;
import org.fuchsiadeck.node.peer.PeerLink;
import org.fuchsiadeck.node.peer.QuarantineCodecs;
import org.fuchsiadeck.node.peer.ShareCodecs;
import org.fuchsiadeck.node.rollout.RolloutCodecs;
import org.fuchsiadeck.node.run.EffectHandler;

/**
 * Opens the links to the other entry nodes.
 */
final class PeerPart {
    private PeerPart() {}

    static EffectHandler<Effect> open(Parts.Surroundings node) {
        Identity self = node.settings().identity();
        PeerCodecs codecs = new PeerCodecs(List.of(
                MembershipCodecs.all(),
                ClaimCodecs.all(),
                ConfigCodecs.all(),
                RolloutCodecs.all(),
                DepartureCodecs.all(),
                LimitCodecs.all(),
                ShareCodecs.all(),
                QuarantineCodecs.all()));
        PeerLink link = node.closer()
                .add(new PeerLink(self, node.settings().peerBind(), codecs, node.events()::post, node.metrics()));
        return effect -> {
            if (effect instanceof Effect.Send send) {
                node.state()
                        .get()
                        .members()
                        .findAddress(send.to())
                        .ifPresent(address -> link.send(address, send.to(), send.message()));
            } else if (effect instanceof MembershipEffect.SendTo send) {
                link.send(send.to(), send.message());
            }
        };
    }
}
