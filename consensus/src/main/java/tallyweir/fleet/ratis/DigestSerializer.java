package tallyweir.fleet.ratis;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.HexFormat;
import tallyweir.fleet.Digest;

/** Writes a digest as its bytes; {@link Digest#NONE} is written as an empty byte string. */
final class DigestSerializer extends StdSerializer<Digest> {
    private static final long serialVersionUID = 1;

    DigestSerializer() {
        super(Digest.class);
    }

    @Override
    public void serialize(Digest digest, JsonGenerator out, SerializerProvider provider) throws IOException {
        out.writeBinary(HexFormat.of().parseHex(digest.value()));
    }
}
