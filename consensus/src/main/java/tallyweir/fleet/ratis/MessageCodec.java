package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/**
 * Encodes and decodes the messages of one sealed type as CBOR: an array of the record's name and the array of its components.
 *
 * @param <T> the sealed type
 */
class MessageCodec<T> {
    private final Class<T> type;
    private final ObjectWriter writer;
    private final ObjectReader reader;

    MessageCodec(ObjectMapper mapper, Class<T> type) {
        this.type = type;
        writer = mapper.writerFor(type);
        reader = mapper.readerFor(type);
    }

    /** Encodes a message. */
    byte[] encode(T message) {
        try {
            return writer.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("every " + type.getSimpleName() + " can be encoded", e);
        }
    }

    /**
     * Decodes a message. Each message has exactly one encoding.
     *
     * @throws MalformedMessageException where the bytes are not exactly one message of the type
     */
    T decode(byte[] bytes) throws MalformedMessageException {
        T message;
        try {
            message = reader.readValue(bytes);
        } catch (IOException | RuntimeException e) { // damaged bytes may fail anywhere in the decoder
            throw new MalformedMessageException("not a " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
        if (message == null || !isEncoding(message, bytes)) { // Jackson passes over surplus components
            throw new MalformedMessageException("not a " + type.getSimpleName() + " as it is encoded");
        }
        return message;
    }

    private boolean isEncoding(T message, byte[] bytes) {
        try {
            return Arrays.equals(writer.writeValueAsBytes(message), bytes);
        } catch (JsonProcessingException e) { // Jackson reads half of a surrogate pair that it does not write
            return false;
        }
    }
}
