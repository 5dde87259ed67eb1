package org.amaranthpick.server.daemon;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthpick.core.member.ListedHost;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.server.caller.CallerLimits;
import org.amaranthpick.server.peer.PeerKeys;

/**
 * Reads settings from flags and environment variables and checks them all; every fault is reported,
 * each with its remedy. A flag goes before its variable.
 */
public final class SettingsReader {
    /** Start of the environment variables: {@code --peer-key} is {@code AMARANTHPICK_PEER_KEY}. */
    public static final String ENVIRONMENT_PREFIX = "AMARANTHPICK_";

    private static final Pattern SEED = Pattern.compile("([^@]+)@([^@]+)@([^@]+)@([^@]+)");
    private static final String SEED_REMEDY =
            "write fleet/entry-2@10.0.0.7:7400@fleet/domain@region";
    private static final int MIN_TOKEN_LENGTH = 16;
    private static final double DEFAULT_STORE_CALLS = 20;
    private static final int MIN_DEFAULT_THREADS = 2;

    private final Map<String, String> mFlags;
    private final Map<String, String> mEnvironment;
    private final List<String> mFaults = new ArrayList<>();

    /**
     * Creates a reader.
     *
     * @param flags values of the flags given, by name without dashes in front
     * @param environment environment variables
     */
    public SettingsReader(Map<String, String> flags, Map<String, String> environment) {
        mFlags = Map.copyOf(flags);
        mEnvironment = Map.copyOf(environment);
    }

    /**
     * Reads and checks all settings.
     *
     * @return settings
     * @throws SettingsException if any setting is missing or wrong; lists all faults
     */
    public Settings read() throws SettingsException {
        String fleet = text("fleet", "f");
        Identity host = parse("host-name", "h", v -> new Identity(fleet, ResourceKind.HOST, v));
        Identity domain =
                parse("domain", "d", v -> Identity.resolve(fleet, ResourceKind.DOMAIN, v));
        Settings settings =
                new Settings(
                        host,
                        domain,
                        text("region", "r"),
                        address("caller-address"),
                        address("operator-address"),
                        address("peer-address"),
                        parse("store-address", "http://127.0.0.1:1", SettingsReader::uri),
                        value("store-token"),
                        value("order-token"),
                        peerKeys(),
                        secret("operator-token", MIN_TOKEN_LENGTH),
                        seeds(fleet),
                        limits(),
                        duration("drain-grace", Duration.ofMinutes(10)),
                        duration("balancer-lag", Duration.ofSeconds(5)),
                        number("store-calls-per-second", DEFAULT_STORE_CALLS, 0.1, 1_000),
                        (int) number("io-threads", defaultThreads(), 1, 64));
        if (!mFaults.isEmpty()) {
            throw new SettingsException(mFaults);
        }
        return settings;
    }

    private CallerLimits limits() {
        CallerLimits d = CallerLimits.DEFAULT;
        return new CallerLimits(
                (int) number("max-body-bytes", d.maxBodyBytes(), 1_000, 100_000_000),
                d.maxHeaders(),
                d.maxHeaderBytes(),
                duration("body-timeout", d.bodyTimeout()),
                (int) number("max-open-requests", d.maxOpenRequests(), 1, 100_000),
                (int) number("max-buffered-tokens", d.maxBufferedTokens(), 1, 10_000),
                (int) number("max-answer-tokens", d.maxAnswerTokens(), 1, 1_000_000));
    }

    private List<String> peerKeys() {
        List<String> keys = new ArrayList<>();
        keys.add(secret("peer-key", PeerKeys.MIN_KEY_BYTES));
        if (value("peer-key-previous").isPresent()) {
            keys.add(secret("peer-key-previous", PeerKeys.MIN_KEY_BYTES));
        }
        return keys;
    }

    private List<ListedHost> seeds(String fleet) {
        List<ListedHost> seeds = new ArrayList<>();
        String list = value("seeds").orElse("");
        for (String item : list.split(",", -1)) {
            if (!item.isBlank()) {
                seed(fleet, item.strip()).ifPresent(seeds::add);
            }
        }
        return seeds;
    }

    private Optional<ListedHost> seed(String fleet, String item) {
        Matcher matcher = SEED.matcher(item);
        if (!matcher.matches()) {
            fault("seeds", "\"" + item + "\" is not HOST@IP:PORT@DOMAIN@REGION", SEED_REMEDY);
            return Optional.empty();
        }
        try {
            Identity host = Identity.resolve(fleet, ResourceKind.HOST, matcher.group(1));
            Identity domain = Identity.resolve(fleet, ResourceKind.DOMAIN, matcher.group(3));
            Optional<PeerAddress> address = Optional.of(parseAddress(matcher.group(2)));
            return Optional.of(
                    new ListedHost(host, address, domain, matcher.group(4), Optional.empty()));
        } catch (IllegalArgumentException e) {
            fault("seeds", "holds \"" + item + "\": " + e.getMessage(), SEED_REMEDY);
            return Optional.empty();
        }
    }

    private String secret(String name, int minLength) {
        String secret = text(name, "x".repeat(minLength));
        if (secret.length() < minLength) {
            fault(name, "is too short", "use at least " + minLength + " characters");
        }
        return secret;
    }

    private PeerAddress address(String name) {
        return parse(name, "127.0.0.1:1", SettingsReader::parseAddress);
    }

    private Duration duration(String name, Duration otherwise) {
        return value(name).map(v -> parse(name, v, "PT30S", Duration::parse)).orElse(otherwise);
    }

    private double number(String name, double otherwise, double min, double max) {
        Optional<String> text = value(name);
        if (text.isEmpty()) {
            return otherwise;
        }
        double number = parse(name, text.get(), String.valueOf(min), Double::parseDouble);
        if (!(number >= min && number <= max)) {
            fault(name, "is out of range", "give a number from " + min + " to " + max);
        }
        return number;
    }

    private <T> T parse(String name, String stub, Function<String, T> parser) {
        return parse(name, text(name, stub), stub, parser);
    }

    private <T> T parse(String name, String text, String stub, Function<String, T> parser) {
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException | java.time.DateTimeException e) {
            fault(name, "is not valid: " + e.getMessage(), "correct its value");
            return parser.apply(stub);
        }
    }

    private String text(String name, String stub) {
        Optional<String> text = value(name);
        if (text.isEmpty()) {
            fault(name, "is missing", "give --" + name + " or set " + variable(name));
        }
        return text.orElse(stub);
    }

    private Optional<String> value(String name) {
        String flag = mFlags.get(name);
        String text = flag != null ? flag : mEnvironment.get(variable(name));
        return Optional.ofNullable(text).filter(t -> !t.isBlank());
    }

    private void fault(String name, String message, String remedy) {
        mFaults.add("--" + name + " " + message + "; " + remedy);
    }

    private static String variable(String name) {
        return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static PeerAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("\"" + text + "\" lacks :PORT");
        }
        String ip = text.substring(0, colon).replaceAll("[\\[\\]]", "");
        return new PeerAddress(ip, Integer.parseInt(text.substring(colon + 1)));
    }

    private static URI uri(String text) {
        try {
            URI uri = new URI(text);
            boolean http = Arrays.asList("http", "https").contains(uri.getScheme());
            if (!http || uri.getHost() == null) {
                throw new IllegalArgumentException("\"" + text + "\" is not an HTTP address");
            }
            return uri;
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address", e);
        }
    }

    private static int defaultThreads() {
        return Math.max(MIN_DEFAULT_THREADS, Runtime.getRuntime().availableProcessors() / 2);
    }
}
