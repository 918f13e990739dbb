package tallyweir.ids;

/** A caller, as far as its connection identifies it. */
public record CallerId(long value) {}
