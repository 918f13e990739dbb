package tallyweir.tool.bench;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Draws ranks from 0 up by Zipf's law with exponent 1: rank r is drawn in proportion to 1 / (r + 1). */
final class ZipfSampler {
    private final double[] cumulative;

    ZipfSampler(int ranks) {
        cumulative = new double[ranks];
        double sum = 0;
        for (int rank = 0; rank < ranks; rank++) {
            sum += 1.0 / (rank + 1);
            cumulative[rank] = sum;
        }
    }

    int draw(SplittableRandom random) {
        double at = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, at);
        int rank = found >= 0 ? found + 1 : -found - 1;
        return Math.min(rank, cumulative.length - 1);
    }
}
