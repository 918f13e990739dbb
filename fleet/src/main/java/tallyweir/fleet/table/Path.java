package tallyweir.fleet.table;

/** Where a part of a table is: the hexadecimal digits of the key hashes that all its entries begin with; "" is the root. */
public record Path(String digits) {
    public static final Path ROOT = new Path("");
}
