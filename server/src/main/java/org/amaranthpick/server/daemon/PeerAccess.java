package org.amaranthpick.server.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.amaranthpick.core.admit.ShareCodecs;
import org.amaranthpick.core.claim.ClaimCodecs;
import org.amaranthpick.core.config.ConfigurationCodecs;
import org.amaranthpick.core.member.MemberCodecs;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.ObserveCodecs;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.PeerCodec;
import org.amaranthpick.core.placement.PlacementCodecs;
import org.amaranthpick.server.peer.FrameCodec;
import org.amaranthpick.server.peer.PeerKeys;
import org.amaranthpick.server.peer.PeerSettings;
import org.amaranthpick.server.peer.PeerTransport;

/** Transport to the other daemons with the codecs of every message family. */
final class PeerAccess implements AutoCloseable {
    private final AtomicReference<Function<Identity, Optional<PeerAddress>>> mAddresses =
            new AtomicReference<>(host -> Optional.empty());
    private final PeerTransport mTransport;

    PeerAccess(Foundation base) throws IOException {
        Settings settings = base.settings();
        PeerAddress listen = settings.peerAddress();
        mTransport =
                new PeerTransport(
                        new PeerTransport.Parts(
                                settings.host(),
                                new InetSocketAddress(
                                        InetAddress.getByName(listen.ip()), listen.port()),
                                keys(settings.peerKeys()),
                                host -> mAddresses.get().apply(host),
                                FrameCodec.of(new PeerCodec(codecs())),
                                base.worker(),
                                base.scheduler(),
                                new SecureRandom(),
                                PeerSettings.defaults()));
    }

    PeerTransport transport() {
        return mTransport;
    }

    /** Looks addresses up in the membership from now on. */
    void findAddressesBy(Function<Identity, Optional<PeerAddress>> addresses) {
        mAddresses.set(addresses);
    }

    @Override
    public void close() {
        mTransport.close();
    }

    private static PeerKeys keys(List<String> secrets) {
        Optional<byte[]> previous =
                secrets.size() > 1 ? Optional.of(bytes(secrets.get(1))) : Optional.empty();
        return new PeerKeys(bytes(secrets.get(0)), previous);
    }

    private static byte[] bytes(String secret) {
        return secret.getBytes(StandardCharsets.UTF_8);
    }

    private static List<MessageCodec<?>> codecs() {
        List<MessageCodec<?>> codecs = new ArrayList<>();
        codecs.addAll(MemberCodecs.all());
        codecs.addAll(ConfigurationCodecs.all());
        codecs.addAll(ObserveCodecs.all());
        codecs.addAll(ShareCodecs.all());
        codecs.addAll(ClaimCodecs.all());
        codecs.addAll(PlacementCodecs.all());
        return codecs;
    }
}
