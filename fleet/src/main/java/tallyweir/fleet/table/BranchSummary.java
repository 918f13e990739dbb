package tallyweir.fleet.table;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The digests and entry counts of all children of a branch. The digest of the branch is the hash of this encoding, so a received
 * summary can be verified against the digest whatever its source.
 *
 * @param children one for each digit, {@link ChildSummary#EMPTY} for a digit without entries
 */
record BranchSummary(List<ChildSummary> children) {
    /** The domain separation byte of a branch's digest: the first byte of the encoding. */
    static final byte DOMAIN = 1;

    private static final int HEADER_BYTES = 1 + Short.BYTES;
    private static final int CHILD_BYTES = Hash256.BYTES + Integer.BYTES;

    static BranchSummary of(Node[] byDigit) {
        List<ChildSummary> children = new ArrayList<>(byDigit.length);
        for (Node child : byDigit) {
            children.add(ChildSummary.of(child));
        }
        return new BranchSummary(children);
    }

    /** Encodes the domain byte, a 16-bit bitmap of the non-empty children, and the digest and count of each of these. */
    byte[] encode() {
        int bitmap = 0;
        for (int digit = 0; digit < children.size(); digit++) {
            if (children.get(digit).count() > 0) {
                bitmap |= 1 << digit;
            }
        }
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + Integer.bitCount(bitmap) * CHILD_BYTES);
        buffer.put(DOMAIN).putShort((short) bitmap);
        for (ChildSummary child : children) {
            if (child.count() > 0) {
                child.digest().write(buffer);
                buffer.putInt(child.count());
            }
        }
        return buffer.array();
    }

    /** Decodes bytes that were verified against their digest; does not validate them itself. */
    static BranchSummary decode(byte[] encoded) {
        ByteBuffer buffer = ByteBuffer.wrap(encoded);
        buffer.get();
        int bitmap = buffer.getShort();
        List<ChildSummary> children = new ArrayList<>(Branch.FAN_OUT);
        for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
            boolean present = (bitmap & 1 << digit) != 0;
            children.add(present ? new ChildSummary(Hash256.read(buffer), buffer.getInt()) : ChildSummary.EMPTY);
        }
        return new BranchSummary(children);
    }
}
