package tallyweir.durable;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What the store counts since it was opened. Any thread may count and read. */
public final class Figures {
    /** The things counted. */
    public enum Of {
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
        /** Bytes written to both copies, whatever for. */
        BYTES_WRITTEN,
        /** Frames of the log read at opening. */
        FRAMES_READ,
        /** Frames found damaged in one copy and written again from the other. */
        REPAIRED,
        /** Frames found damaged in one copy where writing them again failed. */
        UNREPAIRED,
        /** Files made anew from their other copy. */
        FILES_REMADE,
        /** Frames of which neither copy is good. */
        LOST_FRAMES,
        /** Records that were read from the second copy, the first being damaged. */
        SECOND_READS,
        /** Records that were asked for and could be read in neither copy. */
        DAMAGED_READS,
        /** Segments started. */
        SEGMENTS,
        /** Segments given up after a failed write or force. */
        ABANDONED,
        /** Segments compacted away. */
        COMPACTED,
        /** Bytes of records moved by compaction. */
        MOVED_BYTES,
        /** Records that went because their time was over. */
        EXPIRED,
        /** Records that went because their namespace was at its bound. */
        DROPPED_OLDEST,
        /** Openings that could not make the store theirs at once. */
        TURNS_NOT_TAKEN,
        /** Index snapshots written. */
        SNAPSHOTS,
        /** Index snapshots found that could not be trusted. */
        SNAPSHOTS_DISTRUSTED,
        /** Bytes that the scrub has compared. */
        SCRUBBED_BYTES,
        /** Whole passes of the scrub. */
        SCRUBS
    }

    private final EnumMap<Of, LongAdder> counts = new EnumMap<>(Of.class);
    private final EnumMap<Refused.Cause, LongAdder> refused = new EnumMap<>(Refused.Cause.class);

    public Figures() {
        for (Of of : Of.values()) {
            counts.put(of, new LongAdder());
        }
        for (Refused.Cause cause : Refused.Cause.values()) {
            refused.put(cause, new LongAdder());
        }
    }

    void add(Of of, long many) {
        counts.get(of).add(many);
    }

    void add(Of of) {
        add(of, 1);
    }

    /** Counts a refusal and hands it back. */
    Refused count(Refused r) {
        refused.get(r.why()).increment();
        return r;
    }

    public long get(Of of) {
        return counts.get(of).sum();
    }

    public long refused(Refused.Cause cause) {
        return refused.get(cause).sum();
    }

    /** All of them by name, refusals as {@code refused_CAUSE}, in a fixed order. */
    public Map<String, Long> all() {
        Map<String, Long> all = new LinkedHashMap<>();
        counts.forEach((of, n) -> all.put(of.name().toLowerCase(), n.sum()));
        refused.forEach((cause, n) -> all.put("refused_" + cause.name().toLowerCase(), n.sum()));
        return all;
    }
}
