package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 as {@link Hash256}. */
final class Sha256 {
    private static final ThreadLocal<MessageDigest> DIGEST = ThreadLocal.withInitial(Sha256::newDigest);

    private Sha256() {}

    /** The hash of a range of bytes. */
    static Hash256 of(byte[] bytes, int from, int to) {
        MessageDigest digest = DIGEST.get();
        digest.update(bytes, from, to - from);
        return result(digest);
    }

    /** The hash of a byte that says what is hashed, and of the bytes after it. */
    static Hash256 of(byte domain, byte[] bytes) {
        MessageDigest digest = DIGEST.get();
        digest.update(domain);
        digest.update(bytes);
        return result(digest);
    }

    private static Hash256 result(MessageDigest digest) {
        return Hash256.read(ByteBuffer.wrap(digest.digest()));
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
