package tallyweir.fleet.table;

/** Digest and number of entries of one child of a branch. */
record ChildSummary(Hash256 digest, int count) {
    /** The summary of a child without entries. */
    static final ChildSummary EMPTY = of(Leaf.EMPTY);

    static ChildSummary of(Node node) {
        return new ChildSummary(node.digest(), node.count());
    }
}
