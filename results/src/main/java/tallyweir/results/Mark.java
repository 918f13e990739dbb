package tallyweir.results;

import tallyweir.ids.SubjectId;
import tallyweir.ids.WorkloadId;

/** By what a repeat is known: the stamp that its caller gave, within its workload. */
public record Mark(WorkloadId workload, SubjectId stamp) {}
