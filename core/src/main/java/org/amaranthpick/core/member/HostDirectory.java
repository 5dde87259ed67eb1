package org.amaranthpick.core.member;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of live and leaving hosts. It lags. */
@FunctionalInterface
public interface HostDirectory {
    /**
     * Reads the list.
     *
     * @return hosts listed, empty if the list cannot be read; completes normally
     */
    CompletionStage<List<ListedHost>> read();
}
