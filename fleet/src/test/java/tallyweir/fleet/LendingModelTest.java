package tallyweir.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import tallyweir.ids.TenantId;

/** Compares lending with a simple, slow model: each unit of a cap goes to the server that has least and wants more. */
class LendingModelTest {
    private static final TenantId T = new TenantId("t");

    private static int[] fill(int units, int[] wants) {
        int[] has = new int[wants.length];
        for (; units > 0; units--) {
            int least = -1;
            for (int i = 0; i < wants.length; i++) {
                if (has[i] < wants[i] && (least < 0 || has[i] < has[least])) {
                    least = i;
                }
            }
            if (least < 0) {
                break;
            }
            has[least]++;
        }
        return has;
    }

    /** Servers that keep what they use and go down to their targets, reporting in any order, end with the model's shares. */
    @Property(tries = 300, seed = "7")
    void sharesConvergeToModel(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 9) int servers,
            @ForAll @IntRange(min = 0, max = 60) int cap,
            @ForAll @IntRange(min = 0, max = 2) int floors) {
        SplittableRandom random = new SplittableRandom(seed);
        Lending lending = new Lending(false, t -> cap);
        lending.settings(servers, floors * 0.25, 10);
        lending.applyCaps(1, List.of(new CapChange(T, Caps.UNCAPPED, cap)));
        int lendable = cap - lending.floor(cap) * servers;
        int[] wants = new int[servers];
        int[] has = new int[servers];
        long now = 0;
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < servers; i++) {
                wants[i] = random.nextInt(0, 20);
            }
            int[] target = has.clone();
            for (int turn = 0; turn < 40 * servers; turn++) {
                int i = turn < 20 * servers ? random.nextInt(servers) : turn % servers;
                now += 1 + random.nextInt(3);
                Grant grant = lending.report(i, Map.of(T, new Need(Math.min(has[i], target[i]), wants[i])), now)
                        .getOrDefault(T, new Grant(0, 0));
                has[i] = grant.granted();
                target[i] = grant.target();
                assertTrue(lending.committed(T) <= cap, "more than the cap is relied on");
                assertEquals(
                        has[i], lending.lent(i).getOrDefault(T, new Grant(0, 0)).granted());
            }
            int[] model = fill(lendable, wants);
            int sum = 0;
            for (int i = 0; i < servers; i++) {
                assertTrue(Math.abs(has[i] - model[i]) <= 1, i + " has " + has[i] + ", the model " + model[i]);
                sum += model[i] - has[i];
            }
            assertTrue(sum <= servers && sum >= 0, "not everything is lent: " + sum);
        }
        for (int i = 0; i < servers; i++) {
            lending.releaseSlot(i);
        }
        assertEquals(0, lending.granted(T));
    }

    /**
     * The cap changes at random and servers apply the change later. What servers rely on never grows beyond the cap, because
     * floors of an earlier cap count as long as a server may use them.
     */
    @Property(tries = 300, seed = "8")
    void earlierFloorsCountWhileAServerMayRelyOnThem(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int servers = 4;
        List<Map<TenantId, Integer>> caps = new ArrayList<>(List.of(Map.of(T, 40)));
        Lending lending = new Lending(false, t -> caps.get(caps.size() - 1).get(t));
        lending.settings(servers, 0.5, 10);
        lending.applyCaps(1, List.of(new CapChange(T, Caps.UNCAPPED, 40)));
        int[] appliedIndex = new int[servers];
        int[] floors = new int[servers];
        Map<Integer, Integer> has = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            lending.slotApplied(i, 1);
            floors[i] = lending.floor(40);
        }
        for (int turn = 1; turn < 200; turn++) {
            int i = random.nextInt(servers);
            long before = relied(floors, has);
            if (random.nextInt(10) == 0) {
                int earlier = caps.get(caps.size() - 1).get(T);
                int later = random.nextInt(0, 80);
                caps.add(Map.of(T, later));
                lending.applyCaps(caps.size(), List.of(new CapChange(T, earlier, later)));
            } else if (random.nextInt(4) == 0) {
                appliedIndex[i] = caps.size() - 1;
                lending.slotApplied(i, appliedIndex[i] + 1);
                floors[i] = Math.min(
                        floors[i], lending.floor(caps.get(appliedIndex[i]).get(T)));
            } else {
                int want = random.nextInt(0, 30);
                has.put(
                        i,
                        lending.report(i, Map.of(T, new Need(has.getOrDefault(i, 0), want)), turn * 20L)
                                .getOrDefault(T, new Grant(0, 0))
                                .granted());
                if (lending.floorsFree() && appliedIndex[i] == caps.size() - 1) {
                    floors[i] = lending.floor(caps.get(appliedIndex[i]).get(T));
                }
            }
            long after = relied(floors, has);
            int cap = caps.get(caps.size() - 1).get(T);
            assertTrue(after <= Math.max(before, cap), "from " + before + " to " + after + " under a cap of " + cap);
        }
    }

    private static long relied(int[] floors, Map<Integer, Integer> has) {
        return has.values().stream().mapToInt(n -> n).sum()
                + Arrays.stream(floors).sum();
    }
}
