package org.amaranthpick.core.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Converts the stored records of placement to and from JSON. */
final class StoreJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private StoreJson() {}

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static <T> Optional<T> read(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
