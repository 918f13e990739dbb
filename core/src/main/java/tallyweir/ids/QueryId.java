package tallyweir.ids;

public record QueryId(long value) {}
