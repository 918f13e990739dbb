package tallyweir;

/** A time, in tenths of a millisecond, at which a query must be checked; equal times are ordered by sequence. */
record QueryDeadline(long dueAt, long sequence, Query query) implements Comparable<QueryDeadline> {
    @Override
    public int compareTo(QueryDeadline other) {
        return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
    }
}
