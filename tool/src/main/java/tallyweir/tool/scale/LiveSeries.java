package tallyweir.tool.scale;

import java.util.ArrayList;
import java.util.List;

/** What was used in a live run, looked at now and then. */
final class LiveSeries {
    private static final double TICKS = ScaleSettings.SECOND;
    private static final double NANOSECONDS = 1e9;

    private record Sample(long at, long messages, long voterNanoseconds) {}

    private final List<Sample> samples = new ArrayList<>();

    /** Adds a look. */
    void add(long at, long messages, long voterNanoseconds) {
        samples.add(new Sample(at, messages, voterNanoseconds));
    }

    /** The most messages of all servers a second, between any two looks in a span. */
    long peakMessages(long from, long to) {
        double most = 0;
        for (int i = 1; i < samples.size(); i++) {
            if (within(i, from, to)) {
                most = Math.max(most, (samples.get(i).messages - samples.get(i - 1).messages) / seconds(i));
            }
        }
        return Math.round(most);
    }

    /** The largest share of a core that the busiest voter used, between any two looks in a span. */
    double peakProcessor(long from, long to) {
        double most = 0;
        for (int i = 1; i < samples.size(); i++) {
            if (within(i, from, to)) {
                long used = samples.get(i).voterNanoseconds - samples.get(i - 1).voterNanoseconds;
                most = Math.max(most, used / NANOSECONDS / seconds(i));
            }
        }
        return most;
    }

    private boolean within(int sample, long from, long to) {
        return samples.get(sample).at > from && samples.get(sample - 1).at <= to;
    }

    private double seconds(int sample) {
        return (samples.get(sample).at - samples.get(sample - 1).at) / TICKS;
    }
}
