package tallyweir.ids;

/** The number of a request on its connection; may be reused once the request is answered. */
public record RequestId(int value) {}
