package tallyweir.fleet;

/** The number of a revision; 0 is what each server was configured with, before there is any. */
public record RevisionId(long value) implements Comparable<RevisionId> {
    public static final RevisionId NONE = new RevisionId(0);

    @Override
    public int compareTo(RevisionId o) {
        return Long.compare(value, o.value);
    }

    public boolean before(RevisionId o) {
        return value < o.value;
    }
}
