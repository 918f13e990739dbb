package tallyweir.fleet;

/** A revision and the digest of the root of its table, which a server holds what it has fetched against. */
public record RevisionRoot(RevisionId id, Digest root) {
    public static final RevisionRoot NONE = new RevisionRoot(RevisionId.NONE, Digest.NONE);
}
