package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.List;
import org.amaranthpick.core.manifest.ModelVersionSpec;

/** Sentences of the decision log about chains. */
final class ChainText {
    private ChainText() {}

    static String chosen(Chain chain, Duration predicted, String how, int candidates) {
        StringBuilder text = new StringBuilder(160);
        text.append("chose ");
        for (int i = 0; i < chain.hops().size(); i++) {
            Hop hop = chain.hops().get(i);
            text.append(i == 0 ? "" : " > ");
            text.append(hop.upstream().qualifiedName()).append(' ').append(hop.layers());
            text.append(kv(hop.kv()));
        }
        text.append(" by ").append(how).append(" of ").append(candidates);
        text.append(", first token in ").append(predicted.toMillis()).append(" ms");
        return text.toString();
    }

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

    private static String kv(KvSource kv) {
        if (kv instanceof KvSource.Keep) {
            return " (kept)";
        }
        if (kv instanceof KvSource.Import imported) {
            return " (from " + imported.from().qualifiedName() + ")";
        }
        return "";
    }
}
