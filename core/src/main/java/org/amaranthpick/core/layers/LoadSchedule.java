package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.amaranthpick.core.gateway.EngineModel;

/**
 * Decides which planned loads begin now. Designed for many engines that are lost and replaced at
 * once under load: loads share the bandwidth of the weight store, so copies of layers would delay
 * the loads without which there are fewer chains or none.
 */
final class LoadSchedule {
    private LoadSchedule() {}

    /**
     * Selects the orders to send now, the most urgent first. Layers that no engine holds are loaded
     * at once. Those that a domain lacks wait only while the former take up the weight store, and
     * copies wait whenever it is taken up. The others are planned again with the next step.
     *
     * @param planned orders that the planner proposes
     * @param inProgress purposes of the loads in progress
     * @param model parameters of the model
     * @return orders to send
     */
    static List<LayerOrder> select(
            List<LayerOrder> planned, Collection<LoadPurpose> inProgress, EngineModel model) {
        int maxParallel = model.maxParallelLoads().orElse(Integer.MAX_VALUE);
        List<LayerOrder> byUrgency = new ArrayList<>(planned);
        byUrgency.sort(Comparator.comparing(LayerOrder::purpose));
        boolean missingEverywhere = inProgress.contains(LoadPurpose.MISSING_EVERYWHERE);
        List<LayerOrder> selected = new ArrayList<>();
        for (LayerOrder order : byUrgency) {
            missingEverywhere |= order.purpose() == LoadPurpose.MISSING_EVERYWHERE;
            boolean mayWait =
                    switch (order.purpose()) {
                        case MISSING_EVERYWHERE -> false;
                        case MISSING_IN_DOMAIN -> missingEverywhere;
                        case COPY -> true;
                    };
            if (!mayWait || inProgress.size() + selected.size() < maxParallel) {
                selected.add(order);
            }
        }
        return selected;
    }
}
