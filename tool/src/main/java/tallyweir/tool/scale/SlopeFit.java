package tallyweir.tool.scale;

import java.util.List;

/**
 * Time as a product of powers of the numbers of servers and tenants, by least squares of the logarithms.
 *
 * @param logFactor logarithm of the time at one server and one tenant, microseconds
 * @param servers exponent of the number of servers
 * @param tenants exponent of the number of tenants
 * @param residual root of the mean square of what is left, in natural logarithms
 */
record SlopeFit(double logFactor, double servers, double tenants, double residual) {
    private static final int UNKNOWNS = 3;
    private static final double RIDGE = 1e-9; // decides between exponents that the sizes cannot tell apart

    /** Fits points that were measured; at least three are needed for more than a guess. */
    static SlopeFit of(List<SlopePoint> points) {
        double[][] normal = new double[UNKNOWNS][UNKNOWNS];
        double[] right = new double[UNKNOWNS];
        for (SlopePoint point : points) {
            double[] row = row(point.size());
            double time = Math.log(point.microseconds());
            for (int i = 0; i < UNKNOWNS; i++) {
                right[i] += row[i] * time;
                for (int j = 0; j < UNKNOWNS; j++) {
                    normal[i][j] += row[i] * row[j];
                }
            }
        }
        for (int i = 0; i < UNKNOWNS; i++) {
            normal[i][i] += RIDGE;
        }
        double[] solved = solve(normal, right);
        SlopeFit exact = new SlopeFit(solved[0], solved[1], solved[2], 0);
        return new SlopeFit(solved[0], solved[1], solved[2], exact.residualOf(points));
    }

    private static double[] row(FleetSize size) {
        return new double[] {1, Math.log(size.servers()), Math.log(size.tenants())};
    }

    /** The time by this fit, microseconds. */
    double microseconds(FleetSize size) {
        double[] row = row(size);
        return Math.exp(logFactor + servers * row[1] + tenants * row[2]);
    }

    private double residualOf(List<SlopePoint> points) {
        double sum = 0;
        for (SlopePoint point : points) {
            double left = Math.log(point.microseconds()) - Math.log(microseconds(point.size()));
            sum += left * left;
        }
        return Math.sqrt(sum / points.size());
    }

    /** Gaussian elimination with pivots. */
    private static double[] solve(double[][] matrix, double[] right) {
        for (int column = 0; column < UNKNOWNS; column++) {
            swapPivot(matrix, right, column);
            for (int row = column + 1; row < UNKNOWNS; row++) {
                double factor = matrix[row][column] / matrix[column][column];
                for (int i = column; i < UNKNOWNS; i++) {
                    matrix[row][i] -= factor * matrix[column][i];
                }
                right[row] -= factor * right[column];
            }
        }
        double[] solved = new double[UNKNOWNS];
        for (int row = UNKNOWNS - 1; row >= 0; row--) {
            double left = right[row];
            for (int i = row + 1; i < UNKNOWNS; i++) {
                left -= matrix[row][i] * solved[i];
            }
            solved[row] = left / matrix[row][row];
        }
        return solved;
    }

    private static void swapPivot(double[][] matrix, double[] right, int column) {
        int best = column;
        for (int row = column + 1; row < UNKNOWNS; row++) {
            best = Math.abs(matrix[row][column]) > Math.abs(matrix[best][column]) ? row : best;
        }
        double[] swapped = matrix[column];
        matrix[column] = matrix[best];
        matrix[best] = swapped;
        double value = right[column];
        right[column] = right[best];
        right[best] = value;
    }
}
