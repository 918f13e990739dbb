package tallyweir.fleet.table;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * What is sent of a subtree: all its entries if there are few, or else the digests and counts of its children. The first byte
 * says which of the two.
 */
final class Piece {
    /** More entries are sent as the digests of the children. */
    static final int ENTRIES_MOST = 2_048;

    private Piece() {}

    /** The piece for a subtree. */
    static byte[] of(Node node) {
        if (node instanceof Branch branch && branch.count() > ENTRIES_MOST) {
            return BranchSummary.of(branch.byDigit()).encode();
        }
        ByteArrayOutputStream entries = new ByteArrayOutputStream();
        entries.write(Leaf.DOMAIN);
        node.forEachLeaf(leaf -> entries.writeBytes(leaf.bytes()));
        return entries.toByteArray();
    }

    /** Whether it holds the digests of children and not entries. */
    static boolean isSummary(byte[] piece) {
        return piece.length > 0 && piece[0] == BranchSummary.DOMAIN;
    }

    /**
     * Builds the subtree at a path from its entries; throws {@link tallyweir.fleet.Fault.EntryFaulty} if they are not all the
     * encoded entries of such a subtree, each one in its place.
     */
    static Node subtree(Path path, byte[] piece, KeyHashing hashing) {
        if (piece.length == 0 || piece[0] != Leaf.DOMAIN) {
            throw faulty(path, "it does not begin as one");
        }
        List<HashedEntry> entries = new ArrayList<>();
        EntryReader reader = new EntryReader(piece);
        reader.skip(1);
        while (!reader.atEnd()) {
            HashedEntry entry = hashed(reader, piece, hashing);
            if (!isNext(path, entries, entry)) {
                throw faulty(path, "an entry in it is not in its place");
            }
            entries.add(entry);
        }
        return NodeBuilder.build(entries, path.depth());
    }

    private static HashedEntry hashed(EntryReader reader, byte[] piece, KeyHashing hashing) {
        int from = reader.position();
        Key key = reader.key();
        int keyEnd = reader.position();
        reader.value(key.kind());
        return new HashedEntry(hashing.hash(piece, from, keyEnd), piece, from, keyEnd, reader.position());
    }

    private static boolean isNext(Path path, List<HashedEntry> before, HashedEntry entry) {
        boolean follows = before.isEmpty() || before.get(before.size() - 1).compareTo(entry) < 0;
        return follows && path.leadsTo(entry.hash());
    }

    private static RuntimeException faulty(Path path, String why) {
        return Limits.faulty("of the piece at " + path.digits(), why);
    }
}
