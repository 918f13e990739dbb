package tallyweir.tool.bench;

import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/**
 * An open-loop schedule: Poisson arrivals at a fixed mean rate, drawn from a seed alone. Nothing that a server answers, or
 * fails to answer, moves an arrival.
 */
final class ArrivalSchedule implements Iterator<Arrival> {
    private static final double NANOS_PER_SECOND = 1e9;

    private final SplittableRandom random;
    private final ZipfSampler tenants;
    private final double meanGapNanos;
    private final double endNanos;
    private double nextNanos;

    ArrivalSchedule(double ratePerSecond, double seconds, ZipfSampler tenants, long seed) {
        this.tenants = tenants;
        random = new SplittableRandom(seed);
        meanGapNanos = NANOS_PER_SECOND / ratePerSecond;
        endNanos = seconds * NANOS_PER_SECOND;
        nextNanos = gap();
    }

    private double gap() {
        return -Math.log(1 - random.nextDouble()) * meanGapNanos;
    }

    @Override
    public boolean hasNext() {
        return nextNanos < endNanos;
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        Arrival arrival = new Arrival((long) nextNanos, tenants.draw(random), random.nextLong());
        nextNanos += gap();
        return arrival;
    }
}
