package tallyweir.ids;

/** The slot of a connection. */
public record ConnectionId(int value) {}
