package tallyweir.results;

import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/** Identifies repeats of a query: the stamp that the caller gave, unique within its workload. */
public record IdempotencyKey(WorkloadId workload, SubjectId stamp) {}
