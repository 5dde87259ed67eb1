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
 * One typed section of the blackboard: a map in shards, each under its own lock. Values are
 * immutable; a reader gets a value as of one moment, never a half-written one.
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
     * @return value, if present
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
     * Replaces one value under the shard's lock.
     *
     * @param key key
     * @param initial value taken when none is present
     * @param change function of the present value; must be short
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
     * Visits every entry, shard by shard; the visitor runs outside the locks.
     *
     * @param visitor told of each entry
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
     * Counts the entries.
     *
     * @return number of entries
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
    public long changes() {
        return mChanges.get();
    }

    private Map<K, V> shardOf(K key) {
        int hash = key.hashCode();
        return mShards.get(Math.floorMod(hash ^ (hash >>> 16), SHARD_COUNT));
    }
}
