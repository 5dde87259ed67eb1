package org.amaranthpick.core.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * State by the name of a service, of the services used last. Configurations add and remove
 * services, and a daemon lives through many configurations; what it keeps of each name that it has
 * ever seen would grow with its age. Confined to one thread.
 *
 * @param <V> state of a service
 */
public final class RecentServices<V> extends LinkedHashMap<String, V> {
    /** Number of services whose state is kept, far above that of one configuration. */
    static final int MAX_SERVICES = 1024;

    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;

    /** Creates a map without state. */
    public RecentServices() {
        super(16, LOAD_FACTOR, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > MAX_SERVICES;
    }
}
