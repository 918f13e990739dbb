package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/** What a fleet of the target size may cost. */
final class Budget {
    static final double IN_FORCE_SECONDS = 11;
    static final double SERVER_BYTES_PER_SECOND = 3_000;
    static final double SERVER_PROCESSOR = 0.018;
    static final double SERVER_MEMORY_BYTES = 32e6;
    static final double CHANGE_MICROSECONDS = 5_000;
    static final double REPORT_MICROSECONDS = 200;

    /** A figure beside its budget. */
    record Line(String name, double value, double budget) {
        /** By how much the figure is over the budget, at most 1 where it is not. */
        double factor() {
            return value / budget;
        }

        boolean over() {
            return value > budget;
        }

        /** The figure as a line of output. */
        String line() {
            return String.format(
                    "budget %s %.3f of %.3f factor %.3f %s", name, value, budget, factor(), over() ? "over" : "within");
        }
    }

    private final List<Line> lines = new ArrayList<>();

    /** Adds the figures of a run. */
    void run(RunResult run) {
        lines.add(new Line("in-force-p99-s", run.inForceHigh(), IN_FORCE_SECONDS));
        lines.add(new Line("server-bytes/s", run.server().bytesPerSecond(), SERVER_BYTES_PER_SECOND));
        lines.add(new Line("server-processor", run.server().processor(), SERVER_PROCESSOR));
        lines.add(new Line("server-memory-bytes", run.server().memoryBytes(), SERVER_MEMORY_BYTES));
    }

    /** Adds what an operation costs in the state at the size asked for, where that is known. */
    void state(OptionalDouble changeMicroseconds, OptionalDouble reportMicroseconds) {
        changeMicroseconds.ifPresent(us -> lines.add(new Line("change-in-state-us", us, CHANGE_MICROSECONDS)));
        reportMicroseconds.ifPresent(us -> lines.add(new Line("report-in-state-us", us, REPORT_MICROSECONDS)));
    }

    List<Line> lines() {
        return lines;
    }

    /** How many figures are over their budget. */
    long over() {
        return lines.stream().filter(Line::over).count();
    }
}
