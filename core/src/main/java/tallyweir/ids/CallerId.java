package tallyweir.ids;

public record CallerId(long value) {}
