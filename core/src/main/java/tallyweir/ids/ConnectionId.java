package tallyweir.ids;

/** Index of a connection's slot in the connection table. */
public record ConnectionId(int value) {}
