package tallyweir.tool.scale;

/**
 * What one process of a role used.
 *
 * @param messagesPerSecond in and out
 * @param bytesPerSecond in and out
 * @param processor share of a core
 * @param memoryBytes of heap, -1 where it is not known
 * @param basis whether and how the figures were measured
 */
record RoleUse(
        String role,
        double messagesPerSecond,
        double bytesPerSecond,
        double processor,
        long memoryBytes,
        String basis) {
    private static final double MEGABYTE = 1e6;

    /** The use as a line of output. */
    String line() {
        String memory = memoryBytes < 0 ? "-" : String.format("%.2f", memoryBytes / MEGABYTE);
        return String.format(
                "role %s messages/s %.2f bytes/s %.1f processor %.3f%% memory-MB %s (%s)",
                role, messagesPerSecond, bytesPerSecond, 100 * processor, memory, basis);
    }

    /** The same with this much memory. */
    RoleUse withMemory(long bytes) {
        return new RoleUse(role, messagesPerSecond, bytesPerSecond, processor, bytes, basis);
    }
}
