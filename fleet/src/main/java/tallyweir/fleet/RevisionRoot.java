package tallyweir.fleet;

/** A revision and the root digest of its table, against which a server checks the entries that it has fetched. */
public record RevisionRoot(RevisionId id, Digest root) {
    public static final RevisionRoot NONE = new RevisionRoot(RevisionId.NONE, Digest.NONE);
}
