package org.amaranthpick.core.manifest;

/**
 * Contiguous range of model layers.
 *
 * @param from first layer, inclusive, 0 or more
 * @param to end of the range, exclusive, above {@code from}
 */
public record LayerRange(int from, int to) implements Comparable<LayerRange> {
    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if the range is empty or starts below 0
     */
    public LayerRange {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "layer range "
                            + from
                            + ".."
                            + to
                            + " is invalid; it must satisfy 0 <= from < to");
        }
    }

    /**
     * Returns the number of layers.
     *
     * @return number of layers, at least 1
     */
    public int size() {
        return to - from;
    }

    /**
     * Returns whether this range includes all layers of another.
     *
     * @param other range to compare with
     * @return true if every layer of {@code other} is in this range
     */
    public boolean contains(LayerRange other) {
        return from <= other.from && other.to <= to;
    }

    @Override
    public int compareTo(LayerRange other) {
        int byFrom = Integer.compare(from, other.from);
        return byFrom != 0 ? byFrom : Integer.compare(to, other.to);
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }
}
