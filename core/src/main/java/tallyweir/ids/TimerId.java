package tallyweir.ids;

public record TimerId(long value) {}
