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
     * @throws IllegalArgumentException if the range is empty or negative
     */
    public LayerRange {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "layer range " + from + ".." + to + " is empty; give 0 <= from < to");
        }
    }

    /**
     * Counts the layers.
     *
     * @return number of layers, at least 1
     */
    public int size() {
        return to - from;
    }

    /**
     * Tells whether this range holds all layers of another.
     *
     * @param other range to look for
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
