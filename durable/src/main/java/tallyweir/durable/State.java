package tallyweir.durable;

/**
 * Immutable snapshot of what can be read at one instant. The writer replaces it by a new one.
 *
 * @param index location of each key's record
 * @param byAge entries keyed by namespace, stamp and key, for namespaces that drop their oldest records
 * @param usedBytes bytes of current records per namespace
 * @param keyCounts number of current records per namespace
 * @param lastStamp highest stamp assigned
 */
record State(Index index, Index byAge, long[] usedBytes, long[] keyCounts, long lastStamp) {
    /** Builds a record's key in {@code byAge} from its key in the index. */
    static byte[] ageKey(byte[] key, long stamp) {
        byte[] k = new byte[key.length + 8];
        java.nio.ByteBuffer.wrap(k).put(key, 0, 2).putLong(stamp).put(key, 2, key.length - 2);
        return k;
    }
}
