package tallyweir.fleet.table;

/**
 * The position of a subtree in a table.
 *
 * @param digits the common prefix of the key hashes of all entries in the subtree, in hexadecimal; "" for the root
 */
public record Path(String digits) {
    public static final Path ROOT = new Path("");

    private static final int RADIX = 16;

    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} unless it consists of at most 64 digits, 0 to 9 and a to f. */
    public Path {
        if (digits.length() > Hash256.DIGITS) {
            throw Limits.entryFault("of path " + digits, "a path must have at most " + Hash256.DIGITS + " digits");
        }
        for (int i = 0; i < digits.length(); i++) {
            if (!isDigit(digits.charAt(i))) {
                throw Limits.entryFault("of path " + digits, "a path must consist of the digits 0 to 9 and a to f");
            }
        }
    }

    /** The number of digits. */
    int depth() {
        return digits.length();
    }

    /** The digit at an index, as a number. */
    int digit(int index) {
        return Character.digit(digits.charAt(index), RADIX);
    }

    /** The path of a child: this path with a digit from 0 to 15 appended. */
    Path child(int digit) {
        return new Path(digits + Character.forDigit(digit, RADIX));
    }

    /** Whether the hash begins with the digits of this path. */
    boolean isPrefixOf(Hash256 hash) {
        for (int i = 0; i < depth(); i++) {
            if (hash.digit(i) != digit(i)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    }
}
