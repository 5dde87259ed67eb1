package org.amaranthpick.standins;

import java.util.concurrent.CompletionStage;

/** Results of stores in memory, which are there at once. */
final class Results {
    private Results() {}

    static <T> T now(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
