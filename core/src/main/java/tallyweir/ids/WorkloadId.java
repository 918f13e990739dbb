package tallyweir.ids;

public record WorkloadId(String value) {}
