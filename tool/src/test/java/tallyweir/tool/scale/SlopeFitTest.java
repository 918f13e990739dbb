package tallyweir.tool.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Exponents that are known are found again. */
class SlopeFitTest {
    private static List<SlopePoint> points(double noise) {
        List<SlopePoint> points = new ArrayList<>();
        int[][] sizes = {{60, 400}, {600, 4_000}, {600, 40_000}, {6_000, 40_000}, {6_000, 400_000}};
        for (int i = 0; i < sizes.length; i++) {
            FleetSize size = new FleetSize(sizes[i][0], sizes[i][1], 0);
            double exact = 3 * Math.pow(size.servers(), 1.5) * Math.pow(size.tenants(), 0.5);
            points.add(new SlopePoint("known", size, exact * Math.exp(i % 2 == 0 ? noise : -noise), 0, false));
        }
        return points;
    }

    @Test
    void exactPowersHaveNoResidual() {
        SlopeFit fit = SlopeFit.of(points(0));
        assertEquals(1.5, fit.servers(), 1e-6);
        assertEquals(0.5, fit.tenants(), 1e-6);
        assertEquals(0, fit.residual(), 1e-6);
        assertEquals(3 * Math.pow(100, 1.5) * 100, fit.microseconds(new FleetSize(100, 10_000, 0)), 1);
    }

    @Test
    void residualGrowsWithWhatTheFitLeaves() {
        double residual = SlopeFit.of(points(0.1)).residual();
        assertTrue(residual > 0.01 && residual < 0.1, "residual " + residual);
        assertEquals(2 * residual, SlopeFit.of(points(0.2)).residual(), 1e-6);
    }
}
