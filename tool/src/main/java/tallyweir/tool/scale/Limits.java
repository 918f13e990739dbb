package tallyweir.tool.scale;

import java.util.Optional;

/** What one run may take of a machine at the most. */
final class Limits {
    static final long HEAP_BYTES = 12L << 30;
    static final int PROCESSES = 200;

    private static final int SERVERS = 100_000;
    private static final int TENANTS = 4_000_000;
    private static final int ROUTES = 1_000_000;
    private static final double SECONDS = 86_400;
    private static final long GIGABYTE = 1L << 30;

    private Limits() {}

    /** Why a fleet of this size is refused, empty if it is not. */
    static Optional<String> refusal(ScaleOptions options) {
        FleetSize size = options.size();
        if (size.servers() < 1 || size.servers() > SERVERS) {
            return Optional.of("--servers takes 1 to " + SERVERS);
        }
        if (size.tenants() < 1 || size.tenants() > TENANTS) {
            return Optional.of("--tenants takes 1 to " + TENANTS);
        }
        if (size.routes() < 0 || size.routes() > ROUTES) {
            return Optional.of("--routes takes 0 to " + ROUTES);
        }
        if (!(options.changesPerDay() > 0)) {
            return Optional.of("--changes-per-day takes more than 0");
        }
        if (!(options.seconds() > 0) || options.seconds() > SECONDS) {
            return Optional.of("--seconds takes more than 0 and at most " + (int) SECONDS);
        }
        return Optional.empty();
    }

    /**
     * Why a run that needs so much heap in all is refused, empty if it is not.
     *
     * @param spread over processes of its own, so that it does not have to fit into this one
     */
    static Optional<String> heapRefusal(long needed, boolean spread) {
        if (needed > HEAP_BYTES) {
            return Optional.of("this size needs about " + gigabytes(needed) + " GB of heap in all; the limit is "
                    + gigabytes(HEAP_BYTES) + " GB");
        }
        long most = Runtime.getRuntime().maxMemory();
        if (needed > most && !spread) {
            return Optional.of("this size needs about " + gigabytes(needed) + " GB of heap and the virtual machine has "
                    + gigabytes(most) + " GB: set TALLYWEIR_JAVA=-Xmx" + (gigabytes(needed) + 1) + "g");
        }
        return Optional.empty();
    }

    /** Why a run with so many processes is refused, empty if it is not. */
    static Optional<String> processRefusal(int processes) {
        return processes <= PROCESSES
                ? Optional.empty()
                : Optional.of("this takes " + processes + " processes; the limit is " + PROCESSES);
    }

    private static long gigabytes(long bytes) {
        return (bytes + GIGABYTE - 1) / GIGABYTE;
    }
}
