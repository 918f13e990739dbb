package tallyweir.durable;

import java.util.ArrayList;
import java.util.List;

/** An atomic group of writes: all become readable and durable together, or none does. Not thread-safe. */
public final class Batch {
    record Write(String namespace, byte[] key, byte[] value, long expiresAt) {
        boolean isDelete() {
            return value == null;
        }
    }

    final List<Write> writes = new ArrayList<>();
    private long bytes;

    /** Adds a write of a value that does not expire. The arrays are not copied. */
    public Batch put(String namespace, byte[] key, byte[] value) {
        return put(namespace, key, value, 0);
    }

    /**
     * Adds a write of a value that expires at a time in tenths of a millisecond since 1970, 0 for never. The arrays are not
     * copied.
     */
    public Batch put(String namespace, byte[] key, byte[] value, long expires) {
        if (value == null || expires < 0) {
            throw new IllegalArgumentException(value == null ? "no value" : "expires is " + expires);
        }
        return add(new Write(namespace, key, value, expires));
    }

    /** Adds the deletion of a key; deleting a key that does not exist is not an error. */
    public Batch delete(String namespace, byte[] key) {
        return add(new Write(namespace, key, null, 0));
    }

    private Batch add(Write w) {
        writes.add(w);
        bytes += Format.RECORD_HEADER_BYTES + w.key.length + (w.isDelete() ? 0 : w.value.length);
        return this;
    }

    /** The size of its records in the log, in bytes. */
    public long bytes() {
        return bytes;
    }
}
