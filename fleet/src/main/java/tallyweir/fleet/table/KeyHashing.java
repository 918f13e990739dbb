package tallyweir.fleet.table;

/** How the encoding of a key is hashed; a test can put in one whose hashes collide. */
@FunctionalInterface
interface KeyHashing {
    /** What tables use. */
    KeyHashing SHA_256 = Sha256::of;

    /** The hash of the key that is encoded in a range of bytes. */
    Hash256 hash(byte[] bytes, int from, int to);
}
