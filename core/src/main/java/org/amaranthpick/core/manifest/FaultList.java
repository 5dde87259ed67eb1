package org.amaranthpick.core.manifest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Collects the faults of one document. */
final class FaultList {
    private final ManifestDocument mDocument;
    private final Set<ManifestFault> mFaults = new LinkedHashSet<>();
    private final TreeSet<String> mPaths = new TreeSet<>();

    FaultList(ManifestDocument document) {
        mDocument = document;
    }

    void add(String pointer, ManifestFault.Kind kind, String message, String remedy) {
        ManifestDocument.Position at = mDocument.positionOf(pointer);
        mFaults.add(new ManifestFault(at.line(), at.column(), pointer, kind, message, remedy));
        mPaths.add(pointer);
    }

    /** Tells whether a value or anything inside it has a fault. */
    boolean within(String pointer) {
        String inside = pointer + "/";
        String next = mPaths.ceiling(inside);
        return mPaths.contains(pointer) || (next != null && next.startsWith(inside));
    }

    boolean isEmpty() {
        return mFaults.isEmpty();
    }

    List<ManifestFault> sorted() {
        List<ManifestFault> sorted = new ArrayList<>(mFaults);
        sorted.sort(
                Comparator.comparingInt(ManifestFault::line)
                        .thenComparingInt(ManifestFault::column)
                        .thenComparing(ManifestFault::path)
                        .thenComparing(ManifestFault::message));
        return sorted;
    }
}
