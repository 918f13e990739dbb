package tallyweir.ids;

/** A caller, as far as a connection tells. */
public record CallerId(long value) {}
