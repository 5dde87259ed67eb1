package org.amaranthpick.core.route;

import java.util.List;
import org.amaranthpick.core.manifest.ModelVersionSpec;

/** Sentences about chains that cannot be made. */
final class ChainText {
    private ChainText() {}

    static String gap(ModelVersionSpec model, List<Engine> engines) {
        for (int layer = 0; layer < model.layers(); layer++) {
            if (!held(layer, engines)) {
                return "layer "
                        + layer
                        + " of "
                        + model.id().qualifiedName()
                        + " is held by no engine that takes work";
            }
        }
        return "no engine chain covers " + model.id().qualifiedName() + " without a repeat";
    }

    private static boolean held(int layer, List<Engine> engines) {
        for (Engine engine : engines) {
            if (engine.layers().from() <= layer && layer < engine.layers().to()) {
                return true;
            }
        }
        return false;
    }
}
