package org.amaranthpick.server;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** XNIO workers of tests. */
public final class Workers {
    private Workers() {}

    /** Starts a worker with two I/O threads. */
    public static XnioWorker start() {
        try {
            return Xnio.getInstance()
                    .createWorker(
                            OptionMap.create(
                                    Options.WORKER_IO_THREADS, 2, Options.THREAD_DAEMON, true));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
