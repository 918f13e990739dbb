package tallyweir.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 of something, in hex. */
public record Digest(String value) {
    public static final Digest NONE = new Digest("");

    public static Digest of(byte[] bytes) {
        try {
            return new Digest(HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    public static Digest of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
