package tallyweir.tool.bench;

/**
 * One query of a schedule.
 *
 * @param offsetNanos when it is to be sent, counted from the start of the schedule
 * @param tenant the rank of its tenant
 * @param requestId unique within a run
 */
record Arrival(long offsetNanos, int tenant, long requestId) {}
