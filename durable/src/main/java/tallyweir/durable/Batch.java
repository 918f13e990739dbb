package tallyweir.durable;

import java.util.ArrayList;
import java.util.List;

/** Writes that become readable, and survive, together or not at all. Not for several threads. */
public final class Batch {
    record Write(String namespace, byte[] key, byte[] value, long expires) {
        boolean isDelete() {
            return value == null;
        }
    }

    final List<Write> writes = new ArrayList<>();
    private long bytes;

    /** A value that stays until it is replaced or deleted. The arrays are not copied. */
    public Batch put(String namespace, byte[] key, byte[] value) {
        return put(namespace, key, value, 0);
    }

    /** A value that is gone at a time, in tenths of a millisecond since 1970; 0 is never. The arrays are not copied. */
    public Batch put(String namespace, byte[] key, byte[] value, long expires) {
        if (value == null || expires < 0) {
            throw new IllegalArgumentException(value == null ? "no value" : "expires is " + expires);
        }
        return add(new Write(namespace, key, value, expires));
    }

    /** Deletes a key; one that is not there is no error. */
    public Batch delete(String namespace, byte[] key) {
        return add(new Write(namespace, key, null, 0));
    }

    private Batch add(Write w) {
        writes.add(w);
        bytes += Format.RECORD + w.key.length + (w.isDelete() ? 0 : w.value.length);
        return this;
    }

    /** What it takes in the log, in bytes. */
    public long bytes() {
        return bytes;
    }
}
