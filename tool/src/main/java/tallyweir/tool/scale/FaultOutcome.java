package tallyweir.tool.scale;

/**
 * What a fault did.
 *
 * @param recovered seconds from its end until all servers that it hit act on what was in force then, -1 where they did not
 * @param peakMessages at the voter that leads, in one second from its begin until then
 * @param peakProcessor of that voter, share of a core in one second
 */
record FaultOutcome(PlannedFault fault, int servers, double recovered, long peakMessages, double peakProcessor) {
    /** The outcome as a line of output. */
    String line() {
        String time = recovered < 0 ? "not-recovered" : String.format("%.2f", recovered);
        return String.format(
                "fault %s at %.1f for %.1f servers %d recovered-s %s peak-messages/s %d peak-processor %.1f%%",
                fault.kind().label(), fault.at(), fault.lasts(), servers, time, peakMessages, 100 * peakProcessor);
    }
}
