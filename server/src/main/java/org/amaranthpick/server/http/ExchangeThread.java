package org.amaranthpick.server.http;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.IoUtils;

/**
 * Runs the tasks of one exchange on its I/O thread. Where that thread has ended, as in a daemon
 * that stops at once, the connection is closed: left to the library, the exchange would end with an
 * empty answer that looks whole.
 */
public final class ExchangeThread implements Executor {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Executor mThread;
    private final Runnable mClose;

    ExchangeThread(Executor thread, Runnable close) {
        mThread = thread;
        mClose = close;
    }

    /**
     * Returns the thread of an exchange.
     *
     * @param exchange the exchange
     * @return executor that never rejects a task
     */
    public static ExchangeThread of(HttpServerExchange exchange) {
        return new ExchangeThread(
                exchange.getIoThread(), () -> IoUtils.safeClose(exchange.getConnection()));
    }

    @Override
    public void execute(Runnable task) {
        try {
            mThread.execute(task);
        } catch (RejectedExecutionException e) {
            sLogger.atInfo().log("stop: a request ends with its connection, the thread has ended");
            mClose.run();
        }
    }
}
