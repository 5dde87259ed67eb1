package org.amaranthpick.core.manifest;

import java.util.HashSet;
import java.util.Set;
import org.amaranthpick.core.manifest.ManifestDraft.Located;
import org.amaranthpick.core.name.Identity;

/**
 * Checks layer ranges, the memory of each engine, and whether the engines together have memory for
 * each pipeline.
 */
final class CapacityCheck {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    CapacityCheck(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void check() {
        mDraft.mUpstreams.rows().forEach(this::checkUpstream);
        mDraft.mPipelines.rows().forEach(this::checkPipeline);
    }

    private void checkUpstream(Located<UpstreamSpec> row) {
        UpstreamSpec spec = row.spec();
        boolean engine = spec.role() == UpstreamSpec.Role.ENGINE;
        if (engine && spec.accelerator().isEmpty()) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    spec.id().key() + " is an engine without accelerators",
                    "add \"accelerator\"");
        }
        if (!engine && (spec.accelerator().isPresent() || !spec.initialHoldings().isEmpty())) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    spec.id().key() + " is a service, which cannot hold layers",
                    "remove \"accelerator\" and \"holds\", or change the role to engine");
        }
        checkHoldings(row);
        spec.accelerator().ifPresent(accelerator -> checkMemory(row, accelerator));
    }

    private void checkHoldings(Located<UpstreamSpec> row) {
        Set<Identity> modelVersions = new HashSet<>();
        for (int i = 0; i < row.spec().initialHoldings().size(); i++) {
            UpstreamSpec.Holding holding = row.spec().initialHoldings().get(i);
            String pointer = row.pointer() + "/holds/" + i;
            ModelVersionSpec model = mDraft.mModelVersions.get(holding.modelVersion());
            if (model != null && holding.layers().to() > model.layers()) {
                mFaults.add(
                        pointer + "/layers",
                        ManifestFault.Kind.LAYERS,
                        "layers "
                                + holding.layers()
                                + " exceed the "
                                + model.layers()
                                + " layers of "
                                + model.id().key(),
                        "end the range at " + model.layers() + " or below");
            }
            if (!modelVersions.add(holding.modelVersion())) {
                mFaults.add(
                        pointer,
                        ManifestFault.Kind.LAYERS,
                        holding.modelVersion().key()
                                + " is listed twice in the holdings of "
                                + row.spec().id().key(),
                        "list one contiguous range of layers per model version");
            }
        }
    }

    private void checkMemory(Located<UpstreamSpec> row, AcceleratorSpec accelerator) {
        double requiredBytes = 0;
        for (UpstreamSpec.Holding holding : row.spec().initialHoldings()) {
            requiredBytes += (double) holding.layers().size() * bytesPerLayer(holding);
        }
        if (requiredBytes > accelerator.memoryBytes()) {
            mFaults.add(
                    row.pointer() + "/holds",
                    ManifestFault.Kind.CAPACITY,
                    "the initial layers and adapters need "
                            + (long) requiredBytes
                            + " bytes, but the accelerators have "
                            + accelerator.memoryBytes(),
                    "reduce the layers or adapters in \"holds\", or add memory");
        }
    }

    private double bytesPerLayer(UpstreamSpec.Holding holding) {
        ModelVersionSpec model = mDraft.mModelVersions.get(holding.modelVersion());
        double bytes = model == null ? 0 : model.layerWeightBytes();
        for (Identity id : holding.adapters()) {
            AdapterSpec adapter = mDraft.mAdapters.get(id);
            bytes += adapter == null ? 0 : adapter.layerBytes();
        }
        return bytes;
    }

    private void checkPipeline(Located<PipelineSpec> row) {
        PipelineSpec spec = row.spec();
        ModelVersionSpec model = mDraft.mModelVersions.get(spec.modelVersion());
        AdapterSpec adapter = spec.adapter().map(mDraft.mAdapters::get).orElse(null);
        if (model == null) {
            return;
        }
        long bytesPerLayer =
                model.layerWeightBytes() + (adapter == null ? 0 : adapter.layerBytes());
        long fittingLayers = 0;
        for (Located<UpstreamSpec> upstream : mDraft.mUpstreams.rows()) {
            long memoryBytes =
                    upstream.spec().accelerator().map(AcceleratorSpec::memoryBytes).orElse(0L);
            fittingLayers += Math.min(model.layers(), memoryBytes / bytesPerLayer);
        }
        if (fittingLayers < model.layers()) {
            mFaults.add(
                    row.pointer(),
                    ManifestFault.Kind.CAPACITY,
                    "the engines together have memory for only "
                            + fittingLayers
                            + " of the "
                            + model.layers()
                            + " layers of "
                            + model.id().key(),
                    "add engines or memory");
        }
    }
}
