package org.amaranthpick.core.member;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's directory of live and leaving hosts. Its entries may be out of date. */
@FunctionalInterface
public interface HostDirectory {
    /**
     * Reads all entries.
     *
     * @return listed hosts, empty if the directory cannot be read; never completes exceptionally
     */
    CompletionStage<List<ListedHost>> read();
}
