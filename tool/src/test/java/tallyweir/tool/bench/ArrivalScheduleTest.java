package tallyweir.tool.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A schedule hangs on its seed alone and keeps its rate; tenants are drawn by Zipf's law. */
class ArrivalScheduleTest {
    private static final int TENANTS = 100;
    private static final ZipfSampler ZIPF = new ZipfSampler(TENANTS);

    private static List<Arrival> arrivals(double rate, double seconds, long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        new ArrivalSchedule(rate, seconds, ZIPF, seed).forEachRemaining(arrivals::add);
        return arrivals;
    }

    @Test
    void oneSeedGivesOneSchedule() {
        assertEquals(arrivals(600, 10, 7), arrivals(600, 10, 7));
        assertNotEquals(arrivals(600, 10, 7), arrivals(600, 10, 8));
    }

    @Test
    void arrivalsAreInOrderWithinTheScheduleAtTheMeanRate() {
        List<Arrival> arrivals = arrivals(600, 100, 1);
        assertEquals(60_000, arrivals.size(), 1_000); // four deviations of a Poisson count
        long before = -1;
        for (Arrival arrival : arrivals) {
            assertTrue(arrival.offsetNanos() >= before);
            assertTrue(arrival.offsetNanos() < 100_000_000_000L);
            before = arrival.offsetNanos();
        }
    }

    @Test
    void gapsVaryAsThoseOfPoissonArrivals() {
        List<Arrival> arrivals = arrivals(1_000, 100, 1);
        double squares = 0;
        long before = 0;
        for (Arrival arrival : arrivals) {
            double gapMillis = (arrival.offsetNanos() - before) / 1e6;
            squares += (gapMillis - 1) * (gapMillis - 1);
            before = arrival.offsetNanos();
        }
        assertEquals(1, squares / arrivals.size(), 0.05); // the variance of exponential gaps of 1 ms
    }

    @Test
    void requestIdsAreUnique() {
        Set<Long> ids = new HashSet<>();
        arrivals(600, 100, 1).forEach(arrival -> ids.add(arrival.requestId()));
        assertEquals(arrivals(600, 100, 1).size(), ids.size());
    }

    @Test
    void tenantsAreDrawnByZipfsLaw() {
        int[] drawn = new int[TENANTS];
        List<Arrival> arrivals = arrivals(1_000, 100, 1);
        arrivals.forEach(arrival -> drawn[arrival.tenant()]++);
        double first = arrivals.size() / 5.187; // the sum of 1/1 to 1/100
        assertEquals(first, drawn[0], first * 0.05);
        assertEquals(first / 2, drawn[1], first / 2 * 0.05);
        assertEquals(first / 10, drawn[9], first / 10 * 0.1);
        assertTrue(drawn[TENANTS - 1] > 0);
    }

    @Test
    void aScheduleEnds() {
        ArrivalSchedule schedule = new ArrivalSchedule(1, 1e-9, ZIPF, 1);
        assertFalse(schedule.hasNext());
        assertThrows(NoSuchElementException.class, schedule::next);
    }
}
