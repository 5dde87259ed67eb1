package org.amaranthpick.core.manifest;

import java.util.HashSet;
import java.util.Set;
import org.amaranthpick.core.manifest.ManifestDraft.Placed;
import org.amaranthpick.core.name.Identity;

/** Checks layer ranges, memory and whether each pipeline can be served at all. */
final class SizeCheck {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    SizeCheck(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void check() {
        mDraft.mUpstreams.rows().forEach(this::checkUpstream);
        mDraft.mPipelines.rows().forEach(this::checkPipeline);
    }

    private void checkUpstream(Placed<UpstreamSpec> row) {
        UpstreamSpec spec = row.spec();
        boolean engine = spec.role() == UpstreamSpec.Role.ENGINE;
        if (engine && spec.accelerator().isEmpty()) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    spec.id().key() + " is an engine without accelerators",
                    "add \"accelerator\"");
        }
        if (!engine && (spec.accelerator().isPresent() || !spec.initial().isEmpty())) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    spec.id().key() + " is a service and holds no layers",
                    "remove \"accelerator\" and \"holds\", or give it the role engine");
        }
        checkHoldings(row);
        spec.accelerator().ifPresent(accelerator -> checkMemory(row, accelerator));
    }

    private void checkHoldings(Placed<UpstreamSpec> row) {
        Set<Identity> seen = new HashSet<>();
        for (int i = 0; i < row.spec().initial().size(); i++) {
            UpstreamSpec.Holding holding = row.spec().initial().get(i);
            String at = row.pointer() + "/holds/" + i;
            ModelVersionSpec model = mDraft.mModelVersions.get(holding.modelVersion());
            if (model != null && holding.layers().to() > model.layers()) {
                mFaults.add(
                        at + "/layers",
                        ManifestFault.Kind.LAYERS,
                        "layers "
                                + holding.layers()
                                + " reach beyond the "
                                + model.layers()
                                + " layers of "
                                + model.id().key(),
                        "end the range at " + model.layers() + " or below");
            }
            if (!seen.add(holding.modelVersion())) {
                mFaults.add(
                        at,
                        ManifestFault.Kind.LAYERS,
                        holding.modelVersion().key() + " is held twice by " + row.spec().id().key(),
                        "give one contiguous range of layers per model version");
            }
        }
    }

    private void checkMemory(Placed<UpstreamSpec> row, AcceleratorSpec accelerator) {
        double heldBytes = 0;
        for (UpstreamSpec.Holding holding : row.spec().initial()) {
            heldBytes += (double) holding.layers().size() * layerBytes(holding);
        }
        if (heldBytes > accelerator.memoryBytes()) {
            mFaults.add(
                    row.pointer() + "/holds",
                    ManifestFault.Kind.CAPACITY,
                    "the layers held need "
                            + (long) heldBytes
                            + " bytes, the memory has "
                            + accelerator.memoryBytes(),
                    "hold fewer layers or adapters");
        }
    }

    private double layerBytes(UpstreamSpec.Holding holding) {
        ModelVersionSpec model = mDraft.mModelVersions.get(holding.modelVersion());
        double bytes = model == null ? 0 : model.layerWeightBytes();
        for (Identity id : holding.adapters()) {
            AdapterSpec adapter = mDraft.mAdapters.get(id);
            bytes += adapter == null ? 0 : adapter.layerBytes();
        }
        return bytes;
    }

    private void checkPipeline(Placed<PipelineSpec> row) {
        PipelineSpec spec = row.spec();
        ModelVersionSpec model = mDraft.mModelVersions.get(spec.modelVersion());
        AdapterSpec adapter = spec.adapter().map(mDraft.mAdapters::get).orElse(null);
        if (model == null) {
            return;
        }
        long perLayerBytes =
                model.layerWeightBytes() + (adapter == null ? 0 : adapter.layerBytes());
        long layers = 0;
        for (Placed<UpstreamSpec> upstream : mDraft.mUpstreams.rows()) {
            long memoryBytes =
                    upstream.spec().accelerator().map(AcceleratorSpec::memoryBytes).orElse(0L);
            layers += Math.min(model.layers(), memoryBytes / perLayerBytes);
        }
        if (layers < model.layers()) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    "all engines together have memory for "
                            + layers
                            + " of the "
                            + model.layers()
                            + " layers of "
                            + model.id().key(),
                    "add engines or memory");
        }
    }
}
