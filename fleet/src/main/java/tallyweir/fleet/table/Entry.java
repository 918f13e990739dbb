package tallyweir.fleet.table;

/** One entry of a table. */
public record Entry(Key key, Value value) {}
