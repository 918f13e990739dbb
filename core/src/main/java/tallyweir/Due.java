package tallyweir;

/** A moment at which a query wants to be looked at; equal moments in the order they were asked for. */
record Due(long at, long order, Query query) implements Comparable<Due> {
    @Override
    public int compareTo(Due o) {
        return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
}
