package tallyweir.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A SHA-256 digest as lower-case hex; {@link #NONE} for none. */
public record Digest(String value) {
    public static final Digest NONE = new Digest("");

    public static Digest of(byte[] bytes) {
        try {
            return new Digest(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing, which every Java platform must have", e);
        }
    }

    public static Digest of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
