package tallyweir.fleet.table;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The unit of transfer of a subtree: all its entries if there are few, otherwise the digests and entry counts of its children.
 * The first byte distinguishes the two forms.
 */
final class TableChunk {
    /** The maximum number of entries sent in one chunk; a larger branch is sent as the digests of its children. */
    static final int MAX_ENTRIES = 2_048;

    private TableChunk() {}

    /** Encodes a subtree. */
    static byte[] of(Node node) {
        if (node instanceof Branch branch && branch.count() > MAX_ENTRIES) {
            return BranchSummary.of(branch.childrenByDigit()).encode();
        }
        ByteArrayOutputStream entries = new ByteArrayOutputStream();
        entries.write(Leaf.DOMAIN);
        node.forEachLeaf(leaf -> entries.writeBytes(leaf.bytes()));
        return entries.toByteArray();
    }

    /** Whether a chunk contains the digests of children instead of entries. */
    static boolean isSummary(byte[] chunk) {
        return chunk.length > 0 && chunk[0] == BranchSummary.DOMAIN;
    }

    /**
     * Builds the subtree at a path from a chunk of entries; throws {@link tallyweir.fleet.Fault.EntryFaulty} if the chunk is not a
     * sequence of valid entries, sorted and all below the path.
     */
    static Node subtree(Path path, byte[] chunk, KeyHashing hashing) {
        if (chunk.length == 0 || chunk[0] != Leaf.DOMAIN) {
            throw chunkFault(path, "its first byte is not that of a chunk of entries");
        }
        List<HashedEntry> entries = new ArrayList<>();
        EntryReader reader = new EntryReader(chunk);
        reader.skip(1);
        while (!reader.atEnd()) {
            HashedEntry entry = readHashed(reader, chunk, hashing);
            if (!isInOrder(path, entries, entry)) {
                throw chunkFault(path, "an entry in it is out of order or not below the path");
            }
            entries.add(entry);
        }
        return NodeBuilder.build(entries, path.depth());
    }

    private static HashedEntry readHashed(EntryReader reader, byte[] chunk, KeyHashing hashing) {
        int from = reader.position();
        Key key = reader.key();
        int keyEnd = reader.position();
        reader.value(key.kind());
        return new HashedEntry(hashing.hash(chunk, from, keyEnd), chunk, from, keyEnd, reader.position());
    }

    private static boolean isInOrder(Path path, List<HashedEntry> previous, HashedEntry entry) {
        boolean isSorted =
                previous.isEmpty() || previous.get(previous.size() - 1).compareTo(entry) < 0;
        return isSorted && path.isPrefixOf(entry.hash());
    }

    private static RuntimeException chunkFault(Path path, String reason) {
        return Limits.entryFault("of the chunk at " + path.digits(), reason);
    }
}
