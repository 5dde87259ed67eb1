package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Option;
import java.util.HashMap;
import java.util.Map;
import org.amaranthpick.server.daemon.Settings;
import org.amaranthpick.server.daemon.SettingsException;
import org.amaranthpick.server.daemon.SettingsReader;

/**
 * Flags of the settings of a daemon. Each flag has an environment variable: {@code --peer-key} is
 * {@code AMARANTHPICK_PEER_KEY}.
 */
public final class SettingsOptions {
    @Option(name = "--fleet", description = "Fleet of this host.")
    private String mFleet;

    @Option(name = "--host-name", description = "Name of this host within the fleet.")
    private String mHostName;

    @Option(name = "--domain", description = "Failure domain, NAME or FLEET/NAME.")
    private String mDomain;

    @Option(name = "--region", description = "Region of the domain.")
    private String mRegion;

    @Option(name = "--caller-address", description = "IP:PORT for callers.")
    private String mCallerAddress;

    @Option(name = "--operator-address", description = "IP:PORT for operators.")
    private String mOperatorAddress;

    @Option(name = "--peer-address", description = "IP:PORT for other daemons, as they reach it.")
    private String mPeerAddress;

    @Option(name = "--store-address", description = "Base address of the platform's object API.")
    private String mStoreAddress;

    @Option(name = "--store-token", description = "Credential for the object API.")
    private String mStoreToken;

    @Option(
            name = "--order-token",
            description = "Credential shown to engines that check who orders them.")
    private String mOrderToken;

    @Option(name = "--peer-key", description = "Shared key of the daemons.")
    private String mPeerKey;

    @Option(name = "--peer-key-previous", description = "Key still accepted while keys rotate.")
    private String mPeerKeyPrevious;

    @Option(name = "--operator-token", description = "Credential of operators.")
    private String mOperatorToken;

    @Option(
            name = "--seeds",
            description =
                    "Daemons known at the start: HOST@IP:PORT@DOMAIN@REGION, separated by commas.")
    private String mSeeds;

    @Option(name = "--max-body-bytes", description = "Largest request body in bytes.")
    private String mMaxBodyBytes;

    @Option(name = "--body-timeout", description = "Time for a body to arrive, such as PT30S.")
    private String mBodyTimeout;

    @Option(name = "--max-open-requests", description = "Requests in progress at once.")
    private String mMaxOpenRequests;

    @Option(name = "--max-buffered-tokens", description = "Tokens held for a slow reader.")
    private String mMaxBufferedTokens;

    @Option(name = "--max-answer-tokens", description = "Largest max_tokens.")
    private String mMaxAnswerTokens;

    @Option(
            name = "--drain-grace",
            description = "Longest wait for requests in progress at shutdown, such as PT10M.")
    private String mDrainGrace;

    @Option(
            name = "--balancer-lag",
            description = "Time the balancer takes to stop sending, such as PT5S.")
    private String mBalancerLag;

    @Option(
            name = "--store-calls-per-second",
            description = "This daemon's share of the store's rate.")
    private String mStoreCallsPerSecond;

    @Option(name = "--io-threads", description = "I/O threads.")
    private String mIoThreads;

    /**
     * Reads and checks the settings.
     *
     * @param environment environment variables
     * @return settings
     * @throws SettingsException if any setting is missing or wrong; lists all faults
     */
    public Settings read(Map<String, String> environment) throws SettingsException {
        Map<String, String> flags = new HashMap<>();
        put(flags, "fleet", mFleet);
        put(flags, "host-name", mHostName);
        put(flags, "domain", mDomain);
        put(flags, "region", mRegion);
        put(flags, "caller-address", mCallerAddress);
        put(flags, "operator-address", mOperatorAddress);
        put(flags, "peer-address", mPeerAddress);
        put(flags, "store-address", mStoreAddress);
        put(flags, "store-token", mStoreToken);
        put(flags, "order-token", mOrderToken);
        put(flags, "peer-key", mPeerKey);
        put(flags, "peer-key-previous", mPeerKeyPrevious);
        put(flags, "operator-token", mOperatorToken);
        put(flags, "seeds", mSeeds);
        put(flags, "max-body-bytes", mMaxBodyBytes);
        put(flags, "body-timeout", mBodyTimeout);
        put(flags, "max-open-requests", mMaxOpenRequests);
        put(flags, "max-buffered-tokens", mMaxBufferedTokens);
        put(flags, "max-answer-tokens", mMaxAnswerTokens);
        put(flags, "drain-grace", mDrainGrace);
        put(flags, "balancer-lag", mBalancerLag);
        put(flags, "store-calls-per-second", mStoreCallsPerSecond);
        put(flags, "io-threads", mIoThreads);
        return new SettingsReader(flags, environment).read();
    }

    private static void put(Map<String, String> flags, String name, String value) {
        if (value != null) {
            flags.put(name, value);
        }
    }
}
