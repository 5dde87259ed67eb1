package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class HttpConnectorTest {
    private static final int ADDRESSES = 2500;

    /** Number of pools that are kept, and some whose connections are being opened. */
    private static final int MAX_POOLS = 1100;

    /** Upstreams are replaced all the time, and each new one may have a new address. */
    @Test
    void forgetsAddressesWithoutConnections() throws IOException, InterruptedException {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try (HttpConnector connector =
                new HttpConnector(
                        worker,
                        new IoThreadScheduler(worker.getIoThread()),
                        ConnectorSettings.defaults())) {
            for (int i = 0; i < ADDRESSES; i++) {
                String address = "http://127.1." + i / 250 + "." + (1 + i % 250) + ":1";
                CountDownLatch failed = new CountDownLatch(1);
                connector.open(
                        URI.create(address),
                        Duration.ofSeconds(10),
                        new OpenedConnection.Listener() {
                            @Override
                            public void onOpened(OpenedConnection connection) {
                                connection.close();
                                failed.countDown();
                            }

                            @Override
                            public void onFailed(String reason) {
                                failed.countDown();
                            }
                        });
                assertTrue(failed.await(20, TimeUnit.SECONDS), address);
            }
            assertTrue(connector.poolCount() <= MAX_POOLS, connector.poolCount() + " pools");
        } finally {
            worker.shutdownNow();
        }
    }
}
