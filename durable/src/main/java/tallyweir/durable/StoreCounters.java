package tallyweir.durable;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the store since it was opened. Thread-safe. */
public final class StoreCounters {
    /** The counters. The lower-case names are the keys under which they are printed. */
    public enum Counter {
        /** Batches acknowledged. */
        BATCHES,
        /** Records in them. */
        RECORDS,
        /** Bytes of those records. */
        RECORD_BYTES,
        /** Groups of batches, each written and forced as one. */
        GROUPS,
        /** Forces of files and names, each copy counted. */
        FORCES,
        /** Bytes written to both copies, for any purpose. */
        BYTES_WRITTEN,
        /** Frames of the log read at opening. */
        FRAMES_READ,
        /** Frames found damaged in one copy and rewritten from the other. */
        REPAIRED,
        /** Frames found damaged in one copy whose repair failed. */
        UNREPAIRED,
        /** Files recreated from their other copy. */
        FILES_REMADE,
        /** Frames that are intact in neither copy. */
        LOST_FRAMES,
        /** Records read from the second copy because the first was damaged. */
        SECOND_READS,
        /** Records requested that could be read from neither copy. */
        DAMAGED_READS,
        /** Segments started. */
        SEGMENTS,
        /** Segments abandoned after a failed write or force. */
        ABANDONED,
        /** Segments dropped after compaction. */
        COMPACTED,
        /** Bytes of records moved by compaction. */
        MOVED_BYTES,
        /** Records removed because they had expired. */
        EXPIRED,
        /** Oldest records removed because their namespace had reached its bound. */
        DROPPED_OLDEST,
        /** Openings that could not take ownership of the store at once. */
        TURNS_NOT_TAKEN,
        /** Index snapshots written. */
        SNAPSHOTS,
        /** Index snapshots found that could not be trusted. */
        SNAPSHOTS_DISTRUSTED,
        /** Bytes compared by the scrub. */
        SCRUBBED_BYTES,
        /** Complete passes of the scrub. */
        SCRUBS
    }

    private final EnumMap<Counter, LongAdder> counters = new EnumMap<>(Counter.class);
    private final EnumMap<StoreRefusedException.Cause, LongAdder> refusals =
            new EnumMap<>(StoreRefusedException.Cause.class);

    public StoreCounters() {
        for (Counter of : Counter.values()) {
            counters.put(of, new LongAdder());
        }
        for (StoreRefusedException.Cause cause : StoreRefusedException.Cause.values()) {
            refusals.put(cause, new LongAdder());
        }
    }

    void add(Counter of, long amount) {
        counters.get(of).add(amount);
    }

    void add(Counter of) {
        add(of, 1);
    }

    /** Counts a refusal and returns it. */
    StoreRefusedException countRefusal(StoreRefusedException r) {
        refusals.get(r.reason()).increment();
        return r;
    }

    public long get(Counter of) {
        return counters.get(of).sum();
    }

    public long refusals(StoreRefusedException.Cause cause) {
        return refusals.get(cause).sum();
    }

    /** All counters by lower-case name, refusals as {@code refused_CAUSE}, in a fixed order. */
    public Map<String, Long> toMap() {
        Map<String, Long> all = new LinkedHashMap<>();
        counters.forEach((of, n) -> all.put(of.name().toLowerCase(), n.sum()));
        refusals.forEach((cause, n) -> all.put("refused_" + cause.name().toLowerCase(), n.sum()));
        return all;
    }
}
