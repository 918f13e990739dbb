package tallyweir.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that concurrent writes, reads and compaction are linearizable. */
@Param(name = "key", gen = IntGen.class, conf = "0:2")
@Param(name = "value", gen = IntGen.class, conf = "1:3")
public class LinearTest {
    /** Not instance fields, because the checker would traverse them and it cannot traverse records. */
    private static final Map<LinearTest, Durable> STORES = Collections.synchronizedMap(new WeakHashMap<>());

    public LinearTest() throws IOException {
        SimDisk.Power power = new SimDisk.Power(1);
        STORES.put(
                this,
                new Durable(
                        new SimDisk(power, 512, "first"),
                        new SimDisk(power, 512, "second"),
                        CopyExecutor.SEQUENTIAL,
                        4_096,
                        512,
                        0.5,
                        0,
                        List.of(new Namespace("a", 1 << 20, false)),
                        1,
                        () -> 17_000_000_000_000L,
                        Runnable::run,
                        Set.of()));
    }

    private Durable store() {
        return STORES.get(this);
    }

    private static byte[] bytes(int n) {
        return ByteBuffer.allocate(4).putInt(n).array();
    }

    @Operation
    public void put(@Param(name = "key") int key, @Param(name = "value") int value) throws IOException {
        store().commit(new Batch().put("a", bytes(key), bytes(value)));
    }

    /** Writes two keys in one batch. */
    @Operation
    public void putBoth(@Param(name = "value") int value) throws IOException {
        store().commit(new Batch().put("a", bytes(0), bytes(value)).put("a", bytes(1), bytes(value)));
    }

    @Operation
    public void delete(@Param(name = "key") int key) throws IOException {
        store().commit(new Batch().delete("a", bytes(key)));
    }

    @Operation
    public int get(@Param(name = "key") int key) throws IOException {
        StoredRecord f = store().get("a", bytes(key));
        return f == null ? 0 : ByteBuffer.wrap(f.value()).getInt();
    }

    /** Reads both keys from one view. */
    @Operation
    public int getBoth() throws IOException {
        try (View view = store().view()) {
            StoredRecord f = view.get("a", bytes(0));
            StoredRecord g = view.get("a", bytes(1));
            return (f == null ? 0 : ByteBuffer.wrap(f.value()).getInt()) * 10
                    + (g == null ? 0 : ByteBuffer.wrap(g.value()).getInt());
        }
    }

    @Operation
    public void compact() throws IOException {
        store().compactAll();
    }

    @Test
    void isLinearizable() {
        LinChecker.check(
                LinearTest.class,
                new StressOptions()
                        .iterations(20)
                        .invocationsPerIteration(400)
                        .threads(3)
                        .actorsPerThread(3)
                        .actorsBefore(2)
                        .actorsAfter(2));
    }
}
