package tallyweir.tool.scale;

/**
 * What one operation cost.
 *
 * @param nanoseconds that it took
 * @param bytes that it sends, or writes
 */
record Cost(long nanoseconds, long bytes) {}
