package tallyweir.ids;

/** The number of a request on its connection, free again once it is answered. */
public record RequestId(int value) {}
