package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GatewayConfigurationTest {
    static GatewayRoute route(String name, String prefix, RequestKind kind, boolean resumable) {
        return new GatewayRoute(
                name,
                "h.example",
                prefix,
                kind,
                resumable,
                Duration.ofSeconds(2),
                Duration.ofMillis(500),
                Optional.of(Duration.ofMillis(200)),
                1,
                List.of(new ServiceShare("a", 9), new ServiceShare("b", 1)),
                2,
                name.equals("open"));
    }

    private static GatewayConfiguration configuration() {
        return new GatewayConfiguration(
                7,
                List.of(
                        route("short", "/x/", RequestKind.IDEMPOTENT, false),
                        route("long", "/x/y/", RequestKind.NON_IDEMPOTENT, false),
                        route("open", "/o/", RequestKind.STREAM, true)),
                Map.of(),
                Map.of("key", new Credential("school", 1)),
                true,
                new GatewayLimits(100, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    }

    @ParameterizedTest
    @CsvSource({
        "h.example,/x/y/z,long",
        "h.example,/x/yz,short",
        "h.example,/x/,short",
        "h.example,/x,",
        "h.example,/z/,",
        "other.example,/x/,"
    })
    void theLongestMatchingPrefixIsChosen(String host, String path, String expected) {
        Optional<String> found = configuration().route(host, path).map(GatewayRoute::name);
        assertEquals(Optional.ofNullable(expected), found);
    }

    @Test
    void credentialsAreRequiredUnlessTheRouteIsOpen() {
        GatewayConfiguration configuration = configuration();
        assertTrue(configuration.requiresCredential(configuration.route("h.example", "/x/").get()));
        assertFalse(
                configuration.requiresCredential(configuration.route("h.example", "/o/").get()));
        assertEquals("school", configuration.credential("key").get().workspace());
        assertTrue(configuration.credential("gone").isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"0.0,a", "0.89,a", "0.91,b", "0.999,b"})
    void servicesAreSelectedByWeight(double random, String expected) {
        GatewayRoute route = route("r", "/r/", RequestKind.IDEMPOTENT, false);
        assertEquals(expected, route.selectService(random));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,false,true",
        "NON_IDEMPOTENT,true,false",
        "STREAM,true,true",
        "STREAM,false,false"
    })
    void onlyIdempotentRequestsAndResumableStreamsAreRetryable(
            RequestKind kind, boolean resumable, boolean retryable) {
        assertEquals(retryable, route("r", "/r/", kind, resumable).retryable());
    }
}
