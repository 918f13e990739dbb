package tallyweir.durable;

/**
 * What can be read at one moment. Never changed; the writer publishes the next one.
 *
 * @param index where each key's record is
 * @param ages of namespaces that drop the oldest: namespace, stamp and key, in this order
 * @param used bytes of current records by namespace
 * @param keys current records by namespace
 * @param lastStamp the highest given
 */
record State(Index index, Index ages, long[] used, long[] keys, long lastStamp) {
    /** The key under which {@code ages} knows a record, from the key in the index. */
    static byte[] age(byte[] key, long stamp) {
        byte[] k = new byte[key.length + 8];
        java.nio.ByteBuffer.wrap(k).put(key, 0, 2).putLong(stamp).put(key, 2, key.length - 2);
        return k;
    }
}
