package org.amaranthpick.core.route;

import java.util.List;
import org.amaranthpick.core.manifest.ModelVersionSpec;

/** Describes why no chain can be built. */
final class NoChainReason {
    private NoChainReason() {}

    static String describe(ModelVersionSpec model, List<Engine> engines) {
        for (int layer = 0; layer < model.layers(); layer++) {
            if (!isHeld(layer, engines)) {
                return "layer "
                        + layer
                        + " of "
                        + model.id().qualifiedName()
                        + " is held by no engine that accepts work";
            }
        }
        return "no chain covers " + model.id().qualifiedName() + " without using an engine twice";
    }

    private static boolean isHeld(int layer, List<Engine> engines) {
        for (Engine engine : engines) {
            if (engine.layers().from() <= layer && layer < engine.layers().to()) {
                return true;
            }
        }
        return false;
    }
}
