package tallyweir.ids;

/** The name of a workload. */
public record WorkloadId(String value) {}
