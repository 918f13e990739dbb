package tallyweir;

/** A time, in tenths of a millisecond, at which a query must be checked; equal times are ordered by sequence. */
record Due(long at, long order, Query query) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
        return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
}
