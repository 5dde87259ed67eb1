package org.amaranthpick.core.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.store.StoredObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

    private static StoredObject object(String key, long version) {
        return new StoredObject(key, version, new byte[] {1}, Optional.empty());
    }
}
