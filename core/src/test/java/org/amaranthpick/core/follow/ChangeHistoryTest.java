package org.amaranthpick.core.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.store.StoredObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ChangeHistoryTest {
    /** An engine that came and went while the watch was lost is in no list. */
    @ParameterizedTest
    @CsvSource({"10,true", "13,false", "19,false", "20,true", "25,true"})
    void followersThatSawMoreThanTheListsMustListToo(long after, boolean complete) {
        ChangeHistory history = new ChangeHistory();
        history.onList(List.of(object("a", 9)), 10);
        history.onList(List.of(object("a", 9)), 20);
        history.add(FollowedChange.written(object("b", 30)));
        history.onProgress(30);
        Optional<List<String>> keys =
                history.after(after)
                        .map(changes -> changes.stream().map(FollowedChange::key).toList());
        assertEquals(complete ? Optional.of(List.of("b")) : Optional.empty(), keys);
    }

    /** After each change of a large configuration all followers listed it from the store. */
    @ParameterizedTest
    @ValueSource(ints = {1, 500_000, 600_000, 1_000_000})
    void followersGetAChangeHoweverLargeItIs(int bytes) {
        ChangeHistory history = new ChangeHistory();
        history.onList(List.of(object("a", 9)), 10);
        for (long revision = 20; revision <= 40; revision += 10) {
            history.add(FollowedChange.written(object("a", revision, bytes)));
            history.onProgress(revision);
            Optional<List<Long>> versions =
                    history.after(revision - 10)
                            .map(c -> c.stream().map(FollowedChange::version).toList());
            assertEquals(Optional.of(List.of(revision)), versions);
        }
    }

    /** A host that fell behind got each version of a configuration that changed often. */
    @Test
    void followersGetOnlyTheLatestChangeOfAnObject() {
        ChangeHistory history = new ChangeHistory();
        history.onList(List.of(), 10);
        for (long revision = 20; revision <= 50; revision += 10) {
            history.add(FollowedChange.written(object("a", revision)));
            history.add(FollowedChange.written(object("b" + revision, revision)));
            history.onProgress(revision);
        }
        history.add(FollowedChange.deleted("b30", 60));
        history.onProgress(60);
        assertEquals(
                List.of("b20 20", "b40 40", "a 50", "b50 50", "b30 60"),
                history.after(10).orElseThrow().stream()
                        .map(change -> change.key() + " " + change.version())
                        .toList());
    }

    private static StoredObject object(String key, long version) {
        return object(key, version, 1);
    }

    private static StoredObject object(String key, long version, int bytes) {
        return new StoredObject(key, version, new byte[bytes], Optional.empty());
    }
}
