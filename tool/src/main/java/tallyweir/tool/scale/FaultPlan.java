package tallyweir.tool.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults of a run.
 *
 * @param compression how many times more often than in the fleet each kind comes; empty for a plan from a file
 */
record FaultPlan(List<PlannedFault> faults, Map<PlannedFault.Kind, Double> compression) {
    private static final double SECONDS_IN_DAY = 86_400;
    private static final double MACHINE_DOWN = 10;
    private static final double RESTART_DOWN = 3;
    private static final double RACK_DOWN = 8;
    private static final double ZONE_DOWN = 15;
    private static final double REGIONS_CUT = 15;
    private static final double PER_DAY_MACHINES = 330;
    private static final double PER_DAY_RESTARTS = 8_600;
    private static final double PER_DAY_RACKS = 0.7;
    private static final double PER_DAY_ZONES = 1 / 61.0;
    private static final double PER_DAY_CUTS = 1 / 30.0;

    /** No faults. */
    static FaultPlan none() {
        return new FaultPlan(List.of(), Map.of());
    }

    /** Reads a plan: a JSON list of {@code {"at_s":..,"kind":"..","for_s":..}}. */
    static FaultPlan read(Path file) throws IOException {
        JsonNode all = new ObjectMapper().readTree(Files.readAllBytes(file));
        List<PlannedFault> faults = new ArrayList<>();
        for (JsonNode each : all) {
            faults.add(new PlannedFault(
                    number(each, "at_s"), kind(each.path("kind").asText()), number(each, "for_s")));
        }
        return new FaultPlan(faults, Map.of());
    }

    private static double number(JsonNode of, String key) {
        JsonNode value = of.path(key);
        if (!value.isNumber() || value.doubleValue() < 0) {
            throw new IllegalArgumentException("faults: " + key + " is to be a number of seconds in each");
        }
        return value.doubleValue();
    }

    private static PlannedFault.Kind kind(String label) {
        return Arrays.stream(PlannedFault.Kind.values())
                .filter(kind -> kind.label().equals(label))
                .findAny()
                .orElseThrow(() -> new IllegalArgumentException("faults: the kind '" + label + "' is unknown"));
    }

    /**
     * Faults at the rates of the target fleet, in step with the number of servers for single ones; of the kinds that are too rare
     * for a run of this length, one each.
     */
    static FaultPlan builtIn(long seed, double seconds, int servers, int targetServers) {
        SplittableRandom random = new SplittableRandom(seed);
        List<PlannedFault> faults = new ArrayList<>();
        Map<PlannedFault.Kind, Double> compression = new EnumMap<>(PlannedFault.Kind.class);
        double share = servers / (double) targetServers;
        double days = seconds / SECONDS_IN_DAY;
        for (PlannedFault.Kind kind : PlannedFault.Kind.values()) {
            double expected = perDay(kind, share) * days;
            int count = Math.max(1, (int) Math.round(expected));
            compression.put(kind, count / expected);
            for (int i = 0; i < count; i++) {
                faults.add(new PlannedFault(begin(kind, seconds, random), kind, lasts(kind)));
            }
        }
        return new FaultPlan(faults, compression);
    }

    private static double perDay(PlannedFault.Kind kind, double share) {
        return switch (kind) {
            case SERVER -> PER_DAY_MACHINES * share;
            case RESTART -> PER_DAY_RESTARTS * share;
            case RACK -> PER_DAY_RACKS;
            case ZONE -> PER_DAY_ZONES;
            case REGIONS_CUT -> PER_DAY_CUTS;
        };
    }

    private static double lasts(PlannedFault.Kind kind) {
        return switch (kind) {
            case SERVER -> MACHINE_DOWN;
            case RESTART -> RESTART_DOWN;
            case RACK -> RACK_DOWN;
            case ZONE -> ZONE_DOWN;
            case REGIONS_CUT -> REGIONS_CUT;
        };
    }

    /** The large ones in parts of the run of their own, the small ones anywhere. */
    private static double begin(PlannedFault.Kind kind, double seconds, SplittableRandom random) {
        return switch (kind) {
            case RACK -> 0.05 * seconds;
            case ZONE -> 0.25 * seconds;
            case REGIONS_CUT -> 0.6 * seconds;
            default -> random.nextDouble() * seconds;
        };
    }
}
