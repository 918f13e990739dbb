package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;
import java.util.HexFormat;
import tallyweir.fleet.Digest;

/** Reads a digest written by {@link DigestSerializer}. */
final class DigestDeserializer extends StdDeserializer<Digest> {
    private static final long serialVersionUID = 1;
    private static final int SHA256_BYTES = 32;

    DigestDeserializer() {
        super(Digest.class);
    }

    @Override
    public Digest deserialize(JsonParser in, DeserializationContext context) throws IOException {
        if (!in.hasToken(JsonToken.VALUE_EMBEDDED_OBJECT)) {
            return (Digest) context.handleUnexpectedToken(Digest.class, in);
        }
        byte[] bytes = in.getBinaryValue();
        if (bytes.length == 0) {
            return Digest.NONE;
        }
        if (bytes.length != SHA256_BYTES) {
            return (Digest) context.handleWeirdNativeValue(context.constructType(Digest.class), bytes, in);
        }
        return new Digest(HexFormat.of().formatHex(bytes));
    }
}
