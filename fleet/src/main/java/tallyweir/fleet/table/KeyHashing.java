package tallyweir.fleet.table;

/** The hash function for encoded keys; tests substitute one with collisions. */
@FunctionalInterface
interface KeyHashing {
    /** The hash function of all tables in production. */
    KeyHashing SHA_256 = Sha256::of;

    /** Returns the hash of the key encoded in the bytes from {@code from} up to, but not including, {@code to}. */
    Hash256 hash(byte[] bytes, int from, int to);
}
