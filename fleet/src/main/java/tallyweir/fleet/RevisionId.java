package tallyweir.fleet;

/** The number of a revision; 0 stands for each server's own configuration, before the first revision. */
public record RevisionId(long value) implements Comparable<RevisionId> {
    /** No revision: the empty table, or what each server was configured with. */
    public static final RevisionId NONE = new RevisionId(0);

    @Override
    public int compareTo(RevisionId o) {
        return Long.compare(value, o.value);
    }

    public boolean isBefore(RevisionId o) {
        return value < o.value;
    }
}
