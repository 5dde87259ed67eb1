package org.amaranthpick.core.manifest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Collects the faults of one document with their positions. */
final class FaultList {
    private final ManifestDocument mDocument;
    private final Set<ManifestFault> mFaults = new LinkedHashSet<>();
    private final TreeSet<String> mPointers = new TreeSet<>();

    FaultList(ManifestDocument document) {
        mDocument = document;
    }

    void add(String pointer, ManifestFault.Kind kind, String message, String remedy) {
        ManifestDocument.Position position = mDocument.positionOf(pointer);
        mFaults.add(
                new ManifestFault(
                        position.line(), position.column(), pointer, kind, message, remedy));
        mPointers.add(pointer);
    }

    /** Returns whether the value at a pointer, or any value nested in it, has a fault. */
    boolean hasFaultWithin(String pointer) {
        String prefix = pointer + "/";
        String next = mPointers.ceiling(prefix);
        return mPointers.contains(pointer) || (next != null && next.startsWith(prefix));
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
