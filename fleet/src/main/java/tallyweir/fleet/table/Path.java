package tallyweir.fleet.table;

/** Where a part of a table is: the hexadecimal digits of the key hashes that all its entries begin with; "" is the root. */
public record Path(String digits) {
    public static final Path ROOT = new Path("");

    private static final int RADIX = 16;

    /** Throws {@link tallyweir.fleet.Fault.EntryFaulty} if it is not made of at most 64 digits, 0 to 9 and a to f. */
    public Path {
        if (digits.length() > Hash256.DIGITS) {
            throw Limits.faulty("of path " + digits, "a path has at most " + Hash256.DIGITS + " digits");
        }
        for (int i = 0; i < digits.length(); i++) {
            if (!isDigit(digits.charAt(i))) {
                throw Limits.faulty("of path " + digits, "a path is made of the digits 0 to 9 and a to f");
            }
        }
    }

    /** How many digits it has. */
    int depth() {
        return digits.length();
    }

    /** The digit at an index, as a number. */
    int digit(int index) {
        return Character.digit(digits.charAt(index), RADIX);
    }

    /** One digit further down. */
    Path child(int digit) {
        return new Path(digits + Character.forDigit(digit, RADIX));
    }

    /** Whether a hash begins with these digits. */
    boolean leadsTo(Hash256 hash) {
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
