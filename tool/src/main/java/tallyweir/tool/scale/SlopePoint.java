package tallyweir.tool.scale;

/**
 * What an operation cost at one size.
 *
 * @param microseconds median, or what was predicted where it was skipped
 * @param bytes that it sends or writes; of the state as a whole, its heap
 */
record SlopePoint(String name, FleetSize size, double microseconds, long bytes, boolean skipped) {
    /** The point as a line of output. */
    String line() {
        String at = "slope " + name + " " + size.servers() + " " + size.tenants();
        String took = String.format("%.1f", microseconds);
        return skipped ? at + " skipped " + took : at + " " + took + " " + bytes;
    }
}
