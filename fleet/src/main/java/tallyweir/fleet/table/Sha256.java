package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Computes SHA-256 digests as {@link Hash256}. Safe for use by several threads. */
final class Sha256 {
    private static final ThreadLocal<MessageDigest> DIGEST = ThreadLocal.withInitial(Sha256::newDigest);

    private Sha256() {}

    /** Returns the hash of the bytes from {@code from} up to, but not including, {@code to}. */
    static Hash256 of(byte[] bytes, int from, int to) {
        MessageDigest digest = DIGEST.get();
        digest.update(bytes, from, to - from);
        return result(digest);
    }

    /** Returns the hash of a domain separation byte followed by the bytes. */
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
            throw new IllegalStateException("the Java platform does not provide SHA-256", e);
        }
    }
}
