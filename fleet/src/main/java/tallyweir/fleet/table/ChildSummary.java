package tallyweir.fleet.table;

/** What a branch tells of one of its subtrees. */
record ChildSummary(Hash256 digest, int count) {
    /** Of a subtree without entries. */
    static final ChildSummary EMPTY = of(Leaf.EMPTY);

    static ChildSummary of(Node node) {
        return new ChildSummary(node.digest(), node.count());
    }
}
