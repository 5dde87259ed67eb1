package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/** Finds the workspace that a request's credential belongs to. */
public final class CallerAuthenticator {
    private static final String BEARER = "Bearer ";

    private CallerAuthenticator() {}

    /**
     * Finds the workspace of a request.
     *
     * @param exchange the request
     * @param configuration configuration in force
     * @return workspace; empty if the credential is missing, doubled or unknown
     */
    public static Optional<WorkspaceSpec> authenticate(
            HttpServerExchange exchange, Configuration configuration) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.AUTHORIZATION);
        if (values == null || values.size() != 1 || !values.getFirst().startsWith(BEARER)) {
            return Optional.empty();
        }
        String credential = values.getFirst().substring(BEARER.length()).strip();
        return configuration.workspaceByCredentialHash(hash(credential));
    }

    /**
     * Hashes a credential as the manifest holds it.
     *
     * @param credential credential text
     * @return SHA-256 in lower-case hex
     */
    public static String hash(String credential) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of()
                    .formatHex(digest.digest(credential.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-256; use a full one", e);
        }
    }
}
