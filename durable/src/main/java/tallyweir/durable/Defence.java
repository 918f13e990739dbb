package tallyweir.durable;

/** What stands between a fault and a wrong answer. All are on, but in a drill that shows what each is for. */
public enum Defence {
    /** Frames and records carry checksums, and what does not match is not read. */
    CHECKSUM,
    /** Nothing is acknowledged, and nothing old deleted, before what it stands on was forced. */
    FORCE_ORDER,
    /** Every segment is written twice, and either copy serves where the other is damaged. */
    SECOND_COPY,
    /** An index snapshot is used only where its checksum and its place in the log match. */
    SNAPSHOT_DISTRUST,
    /** After a failed write or force the file is never written again, and what it covered is void. */
    VOID_AFTER_FAILURE,
    /** What has expired leaves a tombstone while an older version of its key is still in the log. */
    EXPIRY_TOMBSTONE,
    /** A process that another has taken the store over from acknowledges nothing. */
    FENCE
}
