package tallyweir.durable;

/**
 * Mechanisms that keep a fault from causing a wrong result. All are enabled, except in drills, which disable one at a time to
 * show that it is needed. The names are printed and parsed.
 */
public enum Defence {
    /** Frames and records carry checksums; data that does not match its checksum is not used. */
    CHECKSUM,
    /** Nothing is acknowledged, and no old data deleted, before the data it depends on has been forced. */
    FORCE_ORDER,
    /** Every segment is written to two copies, and either is read where the other is damaged. */
    SECOND_COPY,
    /** An index snapshot is used only if its checksum matches and the log contains the last frame that it covers. */
    SNAPSHOT_DISTRUST,
    /** After a failed write or force the file is never written again, and the data that the operation covered is void. */
    VOID_AFTER_FAILURE,
    /** An expired record is replaced by a tombstone as long as an older version of its key may still be in the log. */
    EXPIRY_TOMBSTONE,
    /** A process whose store another process has taken over acknowledges no further writes. */
    FENCE
}
