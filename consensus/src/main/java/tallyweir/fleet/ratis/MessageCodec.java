package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/**
 * Encodes and decodes the messages of one sealed type as CBOR: an array that holds the record's name and an array of its components
 * in declared order.
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

    /** Returns the single valid encoding of a message. */
    byte[] encode(T message) {
        try {
            return writer.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a message of type " + type.getSimpleName() + " cannot be encoded", e);
        }
    }

    /**
     * Decodes a message. Bytes other than the single valid encoding of a message are rejected.
     *
     * @throws MalformedMessageException if the bytes are not exactly one message of the type
     */
    T decode(byte[] bytes) throws MalformedMessageException {
        T message;
        try {
            message = reader.readValue(bytes);
        } catch (IOException | RuntimeException e) { // damaged bytes can fail anywhere in the decoder
            throw new MalformedMessageException("not a " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
        if (message == null || !isEncoding(message, bytes)) { // Jackson ignores surplus components
            throw new MalformedMessageException("not a " + type.getSimpleName() + " in its valid encoding");
        }
        return message;
    }

    private boolean isEncoding(T message, byte[] bytes) {
        try {
            return Arrays.equals(writer.writeValueAsBytes(message), bytes);
        } catch (JsonProcessingException e) { // Jackson reads an unpaired surrogate but refuses to write it
            return false;
        }
    }
}
