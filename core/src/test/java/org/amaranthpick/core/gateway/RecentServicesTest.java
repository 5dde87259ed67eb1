package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentServicesTest {
    @Test
    void keepsTheServicesInUseWhileNamesComeAndGo() {
        RecentServices<Integer> services = new RecentServices<>();
        for (int i = 0; i < 3 * RecentServices.MAX_SERVICES; i++) {
            services.put("service-" + i, i);
            services.computeIfAbsent("in-use", name -> 1);
        }
        assertEquals(RecentServices.MAX_SERVICES, services.size());
        assertTrue(services.containsKey("in-use"));
    }
}
