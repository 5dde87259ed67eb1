package org.amaranthpick.core.board;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;

/**
 * Typed section of the blackboard: a map split into shards, each with its own lock. Values are
 * immutable, so that a reader always gets a consistent value.
 *
 * @param <K> key type with a stable hash
 * @param <V> immutable value type
 */
public final class Section<K, V> {
    private static final int SHARD_COUNT = 16;

    private final List<Map<K, V>> mShards = new ArrayList<>(SHARD_COUNT);
    private final AtomicLong mChanges = new AtomicLong();

    /** Creates an empty section. */
    public Section() {
        for (int i = 0; i < SHARD_COUNT; i++) {
            mShards.add(new HashMap<>());
        }
    }

    /**
     * Reads one value.
     *
     * @param key key
     * @return present value, if any
     */
    public Optional<V> get(K key) {
        Map<K, V> shard = shardOf(key);
        synchronized (shard) {
            return Optional.ofNullable(shard.get(key));
        }
    }

    /**
     * Writes one value.
     *
     * @param key key
     * @param value new value
     */
    public void put(K key, V value) {
        Map<K, V> shard = shardOf(key);
        synchronized (shard) {
            shard.put(key, value);
        }
        mChanges.incrementAndGet();
    }

    /**
     * Updates one value atomically, under the lock of its shard.
     *
     * @param key key
     * @param initial value passed to the function if none is present
     * @param change computes the new value from the present one; must be fast, as it runs under the
     *     lock
     * @return new value
     */
    public V update(K key, V initial, UnaryOperator<V> change) {
        Map<K, V> shard = shardOf(key);
        V next;
        synchronized (shard) {
            next = change.apply(shard.getOrDefault(key, initial));
            shard.put(key, next);
        }
        mChanges.incrementAndGet();
        return next;
    }

    /**
     * Removes one value.
     *
     * @param key key
     */
    public void remove(K key) {
        Map<K, V> shard = shardOf(key);
        synchronized (shard) {
            shard.remove(key);
        }
        mChanges.incrementAndGet();
    }

    /**
     * Visits every entry, shard by shard. The visitor runs outside the locks, on a copy of each
     * shard.
     *
     * @param visitor called with each entry
     */
    public void forEach(BiConsumer<K, V> visitor) {
        for (Map<K, V> shard : mShards) {
            Map<K, V> copy;
            synchronized (shard) {
                copy = new HashMap<>(shard);
            }
            copy.forEach(visitor);
        }
    }

    /**
     * Returns the number of entries.
     *
     * @return entries in all shards
     */
    public int size() {
        int size = 0;
        for (Map<K, V> shard : mShards) {
            synchronized (shard) {
                size += shard.size();
            }
        }
        return size;
    }

    /**
     * Returns a number that grows with every change, for readers that rebuild snapshots.
     *
     * @return change count
     */
    public long changeCount() {
        return mChanges.get();
    }

    private Map<K, V> shardOf(K key) {
        int hash = key.hashCode();
        return mShards.get(Math.floorMod(hash ^ (hash >>> 16), SHARD_COUNT));
    }
}
