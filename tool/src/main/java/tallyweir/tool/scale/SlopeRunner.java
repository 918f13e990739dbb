package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Consumer;

/** Measures each operation at each of some sizes, smallest first, and skips what would take too long. */
final class SlopeRunner {
    /** The name of the line for the state as a whole: the time to fill it, and its heap. */
    static final String STATE = "state";

    /** The name of the line for what one server acts on: its heap. */
    static final String SERVER = "server-memory";

    private static final int SAMPLES = 9;
    private static final int SAMPLES_LEAST = 3;
    private static final int FIT_LEAST = 3;
    private static final int WARM_UPS = 20;
    private static final double WARM_UP_MICROSECONDS = 1e6; // what takes longer is long enough to be warm
    private static final long WARM_UP_NANOSECONDS = 300_000_000L;
    private static final long SAMPLING_NANOSECONDS = 2_000_000_000L;
    private static final double MICROSECONDS = 1_000.0;
    private static final double NANOSECONDS = 1e9;

    private final FleetUnderTest fleet;
    private final double limitMicroseconds;
    private final Consumer<SlopePoint> each;
    private boolean quiet;
    private final Map<Operation, List<SlopePoint>> measured = new EnumMap<>(Operation.class);
    private final List<SlopePoint> states = new ArrayList<>();

    /**
     * @param limitSeconds how long one size may take of one operation, and to be filled
     * @param each is told each point as it is known
     */
    SlopeRunner(FleetUnderTest fleet, double limitSeconds, Consumer<SlopePoint> each) {
        this.fleet = fleet;
        this.limitMicroseconds = limitSeconds * 1e6;
        this.each = each;
        for (Operation operation : Operation.values()) {
            measured.put(operation, new ArrayList<>());
        }
    }

    /** The points that were measured of each operation. */
    Map<Operation, List<SlopePoint>> measured() {
        return measured;
    }

    /** Measures all operations at one size. */
    void measure(FleetSize size) {
        boolean filled = fill(size);
        for (Operation operation : Operation.values()) {
            if (operation.ofState()) {
                measure(operation, size, filled);
            }
        }
        if (predict(measured.get(Operation.SERVER_APPLY), size) <= limitMicroseconds) {
            fleet.prepareServer(size);
            measure(Operation.SERVER_APPLY, size, true);
            say(new SlopePoint(SERVER, size, 0, fleet.serverBytes(), false));
        }
    }

    /** Runs every operation at a small size, unmeasured, so that its code is compiled when the first size is measured. */
    void warmUp(FleetSize size, double seconds) {
        quiet = true;
        long began = System.nanoTime();
        while (System.nanoTime() - began < seconds * NANOSECONDS) {
            measure(size);
        }
        measured.values().forEach(List::clear);
        states.clear();
        quiet = false;
    }

    private void say(SlopePoint point) {
        if (!quiet) {
            each.accept(point);
        }
    }

    private boolean fill(FleetSize size) {
        double predicted = predict(states, size);
        if (predicted > limitMicroseconds) {
            say(new SlopePoint(STATE, size, predicted, 0, true));
            return false;
        }
        Cost cost = fleet.found(size);
        SlopePoint point = new SlopePoint(STATE, size, cost.nanoseconds() / MICROSECONDS, fleet.stateBytes(), false);
        states.add(point);
        say(point);
        return true;
    }

    private void measure(Operation operation, FleetSize size, boolean possible) {
        List<SlopePoint> before = measured.get(operation);
        double predicted = predict(before, size);
        if (!possible || predicted * SAMPLES_LEAST > limitMicroseconds) {
            say(new SlopePoint(operation.label(), size, predicted, 0, true));
            return;
        }
        SlopePoint point = sample(operation, size, predicted <= WARM_UP_MICROSECONDS);
        before.add(point);
        say(point);
    }

    private SlopePoint sample(Operation operation, FleetSize size, boolean warmUp) {
        int server = 0;
        long began = System.nanoTime();
        for (int i = 0; warmUp && i < WARM_UPS && System.nanoTime() - began < WARM_UP_NANOSECONDS; i++) {
            operation.once(fleet, server++ % size.servers());
        }
        List<Cost> costs = new ArrayList<>();
        began = System.nanoTime();
        while (costs.size() < SAMPLES_LEAST
                || costs.size() < SAMPLES && System.nanoTime() - began < SAMPLING_NANOSECONDS) {
            costs.add(operation.once(fleet, server++ % size.servers()));
        }
        costs.sort((a, b) -> Long.compare(a.nanoseconds(), b.nanoseconds()));
        Cost median = costs.get(costs.size() / 2);
        return new SlopePoint(operation.label(), size, median.nanoseconds() / MICROSECONDS, median.bytes(), false);
    }

    /** By the fit where there is one, else as if it grew with servers times tenants; 0 where nothing is known. */
    private static double predict(List<SlopePoint> points, FleetSize size) {
        if (points.isEmpty()) {
            return 0;
        }
        if (points.size() >= FIT_LEAST) {
            return SlopeFit.of(points).microseconds(size);
        }
        SlopePoint last = points.get(points.size() - 1);
        double servers = size.servers() / (double) last.size().servers();
        double tenants = size.tenants() / (double) last.size().tenants();
        return last.microseconds() * servers * tenants;
    }

    /** What an operation costs at a size: as measured there, else by the fit, else unknown. */
    OptionalDouble microseconds(Operation operation, FleetSize size) {
        List<SlopePoint> points = measured.get(operation);
        if (points.isEmpty()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(points.stream()
                .filter(point -> point.size().equals(size))
                .mapToDouble(SlopePoint::microseconds)
                .findAny()
                .orElseGet(() -> predict(points, size)));
    }
}
