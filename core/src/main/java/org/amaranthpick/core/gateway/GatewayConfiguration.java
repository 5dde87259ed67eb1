package org.amaranthpick.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Version of the operator's configuration. Immutable. */
public final class GatewayConfiguration {
    private final long mVersion;
    private final Map<String, List<GatewayRoute>> mRoutesByHost = new HashMap<>();
    private final Map<String, GatewayService> mServices;
    private final Map<String, Credential> mCredentials;
    private final boolean mRequiresCredential;
    private final GatewayLimits mLimits;
    private final int mRouteCount;

    /**
     * Creates a configuration.
     *
     * @param version version, increases with each change
     * @param routes all routes
     * @param services services by name
     * @param credentials credentials by API key
     * @param requiresCredential whether requests require a credential, unless their route is open
     * @param limits limits on callers
     */
    public GatewayConfiguration(
            long version,
            List<GatewayRoute> routes,
            Map<String, GatewayService> services,
            Map<String, Credential> credentials,
            boolean requiresCredential,
            GatewayLimits limits) {
        mVersion = version;
        mServices = Map.copyOf(services);
        mCredentials = Map.copyOf(credentials);
        mRequiresCredential = requiresCredential;
        mLimits = limits;
        mRouteCount = routes.size();
        for (GatewayRoute route : routes) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<GatewayRoute> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        mRoutesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    /**
     * Returns the version.
     *
     * @return version, higher than that of every earlier configuration
     */
    public long version() {
        return mVersion;
    }

    /**
     * Finds the route with the longest path prefix that matches a request.
     *
     * @param host host name in the request
     * @param path path of the request, without the query
     * @return route, empty if none matches
     */
    public Optional<GatewayRoute> route(String host, String path) {
        for (GatewayRoute route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return service, empty if there is none
     */
    public Optional<GatewayService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns all services.
     *
     * @return services by name
     */
    public Map<String, GatewayService> services() {
        return mServices;
    }

    /**
     * Checks whether requests of a route require a credential.
     *
     * @param route the route
     * @return true if a credential is required
     */
    public boolean requiresCredential(GatewayRoute route) {
        return mRequiresCredential && !route.allowAnonymous();
    }

    /**
     * Finds the credential of an API key.
     *
     * @param key API key of a caller
     * @return credential, empty if the key is unknown
     */
    public Optional<Credential> credential(String key) {
        return Optional.ofNullable(mCredentials.get(key));
    }

    /**
     * Returns the limits on callers.
     *
     * @return limits
     */
    public GatewayLimits limits() {
        return mLimits;
    }

    /**
     * Returns the number of routes.
     *
     * @return number of routes
     */
    public int routeCount() {
        return mRouteCount;
    }
}
