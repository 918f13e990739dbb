package tallyweir.fleet.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Compares {@link Table} with a sorted map, with the production hash function and with ones that collide. */
class TableTest {
    private static final List<KeyHashing> HASHINGS = List.of(
            KeyHashing.SHA_256,
            TestTables.collidingAfter(0),
            TestTables.collidingAfter(2),
            TestTables.differingInLastDigit());

    @Property(tries = 200, seed = "11")
    void hasTheEntriesOfAModelMap(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 400) int names,
            @ForAll @IntRange(min = 0, max = 3) int hashing) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<Key, Value> model = new TreeMap<>();
        Table table = Table.empty(HASHINGS.get(hashing));
        for (int round = 0; round < 8; round++) {
            List<Change> changes = TestTables.randomChanges(random, random.nextInt(150), names);
            TestTables.applyToModel(model, changes);
            table = table.apply(changes);
            assertEquals(model.size(), table.size());
            assertEquals(model, TestTables.entriesOf(table));
            Key key = TestTables.randomKey(random, names);
            assertEquals(Optional.ofNullable(model.get(key)), table.get(key));
        }
        for (Map.Entry<Key, Value> entry : model.entrySet()) {
            assertEquals(Optional.of(entry.getValue()), table.get(entry.getKey()));
        }
    }

    @Property(tries = 150, seed = "12")
    void rootAndShapeDependOnTheEntriesOnly(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 300) int names,
            @ForAll @IntRange(min = 0, max = 3) int hashing) {
        SplittableRandom random = new SplittableRandom(seed);
        Table empty = Table.empty(HASHINGS.get(hashing));
        Table incremental = empty;
        for (int round = 0; round < 6; round++) {
            incremental = incremental.apply(TestTables.randomChanges(random, random.nextInt(200), names));
        }
        List<Change> shuffled = new ArrayList<>();
        incremental.forEach(entry -> shuffled.add(TestTables.put(entry.key(), entry.value())));
        Collections.shuffle(shuffled, new Random(seed));
        Table oneByOne = empty;
        for (Change change : shuffled) {
            oneByOne = oneByOne.apply(List.of(change));
        }
        assertEquals(incremental.root(), oneByOne.root());
        assertEquals(incremental.root(), empty.apply(shuffled).root());
        assertSameShape(incremental.rootNode(), oneByOne.rootNode(), 0);
        assertEquals(entriesInOrder(incremental), entriesInOrder(oneByOne));
    }

    @Property(tries = 200, seed = "13")
    void differenceAndItsInverseConvertBetweenTables(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 300) int names,
            @ForAll @IntRange(min = 0, max = 3) int hashing) {
        SplittableRandom random = new SplittableRandom(seed);
        Table empty = Table.empty(HASHINGS.get(hashing));
        Table before = empty.apply(TestTables.randomChanges(random, random.nextInt(600), names));
        Table after = random.nextInt(4) == 0
                ? empty.apply(TestTables.randomChanges(random, random.nextInt(600), names))
                : before.apply(TestTables.randomChanges(random, random.nextInt(40), names));
        List<Change> difference = before.differenceTo(after);
        assertEquals(modelDifference(before, after), byKey(difference));
        assertEquals(after, before.apply(difference));
        List<Change> inverse = difference.stream().map(Change::inverse).toList();
        assertEquals(before, after.apply(inverse));
        assertEquals(Optional.of(difference), before.differenceTo(after, difference.size()));
        if (!difference.isEmpty()) {
            assertEquals(Optional.empty(), before.differenceTo(after, difference.size() - 1));
            assertNotEquals(before.root(), after.root());
        }
    }

    @Test
    void changesWithoutEffectReturnTheSameTable() {
        Table table = Table.EMPTY.apply(TestTables.capChanges(0, 5_000, 7));
        assertSame(table, table.apply(List.of()));
        assertSame(table, table.apply(TestTables.capChanges(100, 200, 7)));
        assertSame(table, table.apply(List.of(TestTables.remove(TestTables.capKey(5_001)))));
        assertSame(Table.EMPTY, Table.EMPTY.apply(List.of(TestTables.remove(TestTables.capKey(1)))));
    }

    @Test
    void ofSeveralChangesOfOneKeyTheLastCounts() {
        Key key = TestTables.capKey(1);
        Change one = TestTables.put(key, new Value.Cap(1));
        Change two = TestTables.put(key, new Value.Cap(2));
        assertEquals(
                Optional.of(new Value.Cap(2)),
                Table.EMPTY.apply(List.of(one, two)).get(key));
        assertEquals(
                0, Table.EMPTY.apply(List.of(one, two, TestTables.remove(key))).size());
    }

    @Test
    void removingAllEntriesGivesTheEmptyTable() {
        Table table = Table.EMPTY.apply(TestTables.capChanges(0, 3_000, 7));
        List<Change> removals = Table.EMPTY.differenceTo(table).stream()
                .map(change -> TestTables.remove(change.key()))
                .toList();
        Table emptied = table.apply(removals);
        assertEquals(Table.EMPTY, emptied);
        assertSame(Leaf.EMPTY, emptied.rootNode());
    }

    @Test
    void aLeafIsSplitAtItsLimitAndJoinedAgain() {
        Table full = Table.EMPTY.apply(TestTables.capChanges(0, Leaf.MAX_ENTRIES, 7));
        assertTrue(full.rootNode() instanceof Leaf);
        Table split = full.apply(TestTables.capChanges(Leaf.MAX_ENTRIES, Leaf.MAX_ENTRIES + 1, 7));
        assertTrue(split.rootNode() instanceof Branch);
        Table joined = split.apply(List.of(TestTables.remove(TestTables.capKey(Leaf.MAX_ENTRIES))));
        assertTrue(joined.rootNode() instanceof Leaf);
        assertEquals(full, joined);
    }

    @Test
    void keysOfEqualHashesShareOneLeafAtTheGreatestDepth() {
        Table table = Table.empty(TestTables.collidingAfter(0)).apply(TestTables.capChanges(0, 100, 7));
        Node node = table.rootNode();
        for (int depth = 0; depth < Hash256.DIGITS; depth++) {
            assertTrue(node instanceof Branch, "depth " + depth);
            node = node.child(0, depth, table.hashing());
        }
        assertTrue(node instanceof Leaf);
        assertEquals(100, node.count());
    }

    @Test
    void aChangeCreatesNewNodesOnItsPathOnly() {
        Table before = Table.EMPTY.apply(TestTables.capChanges(0, 20_000, 7));
        Set<Node> oldNodes = nodesOf(before);
        Table after = before.apply(TestTables.capChanges(1_234, 1_235, 8));
        Set<Node> newNodes = nodesOf(after);
        newNodes.removeAll(oldNodes);
        assertTrue(newNodes.size() <= 5, "new nodes: " + newNodes.size() + " of " + oldNodes.size());
        assertTrue(oldNodes.size() > 1_000, "nodes: " + oldNodes.size());
    }

    @Test
    void theEmptyTableHasItsOwnRoot() {
        assertEquals(64, Table.EMPTY.root().value().length());
        assertNotEquals(Table.EMPTY, Table.EMPTY.apply(TestTables.capChanges(0, 1, 7)));
    }

    private static void assertSameShape(Node one, Node other, int depth) {
        assertEquals(one.getClass(), other.getClass());
        assertEquals(one.count(), other.count());
        assertEquals(one.digest(), other.digest());
        if (one instanceof Branch branch) {
            assertTrue(branch.count() > Leaf.MAX_ENTRIES);
            for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
                assertSameShape(branch.child(digit), ((Branch) other).child(digit), depth + 1);
            }
        } else {
            assertTrue(one.count() <= Leaf.MAX_ENTRIES || depth == Hash256.DIGITS);
        }
    }

    private static Map<Key, Change> modelDifference(Table before, Table after) {
        Map<Key, Value> oldEntries = TestTables.entriesOf(before);
        Map<Key, Value> newEntries = TestTables.entriesOf(after);
        Map<Key, Value> union = new TreeMap<>(oldEntries);
        union.putAll(newEntries);
        Map<Key, Change> differing = new TreeMap<>();
        for (Key key : union.keySet()) {
            Optional<Value> oldValue = Optional.ofNullable(oldEntries.get(key));
            Optional<Value> newValue = Optional.ofNullable(newEntries.get(key));
            if (!oldValue.equals(newValue)) {
                differing.put(key, new Change(key, oldValue, newValue));
            }
        }
        return differing;
    }

    private static Map<Key, Change> byKey(List<Change> changes) {
        Map<Key, Change> byKey = new TreeMap<>();
        changes.forEach(change -> byKey.put(change.key(), change));
        assertEquals(changes.size(), byKey.size());
        return byKey;
    }

    private static List<Entry> entriesInOrder(Table table) {
        List<Entry> entries = new ArrayList<>();
        table.forEach(entries::add);
        return entries;
    }

    private static Set<Node> nodesOf(Table table) {
        Set<Node> nodes = Collections.newSetFromMap(new IdentityHashMap<>());
        collect(table.rootNode(), nodes);
        return nodes;
    }

    private static void collect(Node node, Set<Node> nodes) {
        nodes.add(node);
        if (node instanceof Branch branch) {
            for (int digit = 0; digit < Branch.FAN_OUT; digit++) {
                collect(branch.child(digit), nodes);
            }
        }
    }
}
