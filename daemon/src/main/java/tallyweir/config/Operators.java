package tallyweir.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.results.DurableShelf;
import tallyweir.results.Settling;

/**
 * The operators' own file, which EDGE_OPERATORS names: what a platform does not tell. Read, checked and given defaults
 * here alone. Without the file, or without its part, what it is about is off.
 */
public final class Operators {
    private static final int MB = 1 << 20;

    private final Tree durable;
    private final Tree results;
    private final Tree watch;

    private Operators(Tree all) {
        all.only("durable", "results", "watch");
        durable = all.has("durable") ? all.in("durable") : null;
        results = all.has("results") ? all.in("results") : null;
        watch = all.has("watch") ? all.in("watch") : null;
        if (watch != null) {
            watch.only("settings");
        }
        if (results != null && durable == null) {
            throw new BadSetting("results needs a durable part: the store in which they are kept");
        }
        if (durable != null) {
            check();
        }
    }

    /** Reads the file that EDGE_OPERATORS names; where it names none, everything is off. */
    public static Operators read(Map<String, String> environment) {
        String file = environment.get("EDGE_OPERATORS");
        if (file == null || file.isEmpty()) {
            return parse(new byte[] {'{', '}'});
        }
        return read(Path.of(file));
    }

    public static Operators read(Path file) {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadSetting("the operators' file cannot be read: " + e);
        }
    }

    public static Operators parse(byte[] json) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return new Operators(Tree.read(in, ""));
        } catch (JsonProcessingException e) {
            throw new BadSetting("the operators' file is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadSetting("the operators' file cannot be read: " + e);
        }
    }

    /** The settings to be watched beside those in force, checked whole, null for none. */
    public Settings watched(Settings inForce) {
        return watch == null ? null : inForce.watched(watch.in("settings"));
    }

    /** Whether there is to be a store. */
    public boolean hasDurable() {
        return durable != null;
    }

    /** Whether results of queries with an effect are kept over restarts. */
    public boolean keepsResults() {
        return results != null;
    }

    /** Opens the store as the file has it. */
    public FileStore openDurable() throws IOException {
        return new FileStore(first(), second(), segmentBytes(), sector(), deadShare(),
                durable.whole("scrub_every_h", 0, 8_760, 24) * 36_000_000L,
                durable.whole("pending_mb", 1, 1_024, 64) * (long) MB,
                durable.whole("force_every_ms", 0, 10_000, 0) * 1_000_000L,
                durable.whole("upkeep_mb_per_s", 1, 10_000, 32) * (long) MB, namespaces());
    }

    /** Where the first copy is. */
    public Path first() {
        return Path.of(durable.text("dir")).resolve("first");
    }

    /** Where the second copy is: beside the first, or in a directory of its own, best on another disk. */
    public Path second() {
        String second = durable.text("second_dir", "");
        return second.isEmpty() ? Path.of(durable.text("dir")).resolve("second") : Path.of(second);
    }

    /** Where the process that holds the store answers operators. */
    public Path desk() {
        return Path.of(durable.text("dir")).resolve("desk");
    }

    public int segmentBytes() {
        return durable.whole("segment_mb", 1, 1_024, 64) * MB;
    }

    public int sector() {
        int sector = durable.whole("sector_bytes", 512, 65_536, 4_096);
        if (Integer.bitCount(sector) != 1) {
            throw new BadSetting("durable.sector_bytes is " + sector + ": a power of two is needed");
        }
        return sector;
    }

    public double deadShare() {
        double share = durable.number("dead_share", 0.5);
        if (!(share >= 0.1 && share <= 0.9)) {
            throw new BadSetting("durable.dead_share is " + share + ": 0.1 to 0.9 is needed");
        }
        return share;
    }

    public List<Namespace> namespaces() {
        List<Namespace> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int i = 0;
        for (Tree n : durable.each("namespaces")) {
            String at = "durable.namespaces[" + i++ + "]";
            n.only("name", "bound_mb", "at_bound");
            String then = n.text("at_bound", "refuse");
            if (!then.equals("refuse") && !then.equals("drop_oldest")) {
                throw new BadSetting(at + ".at_bound is '" + then + "': refuse or drop_oldest is needed");
            }
            try {
                all.add(new Namespace(n.text("name"), n.whole("bound_mb", 1, 1 << 20) * (long) MB,
                        then.equals("drop_oldest")));
            } catch (IllegalArgumentException e) {
                throw new BadSetting(at + ".name: " + e.getMessage());
            }
            if (results != null && (n.text("name").equals(DurableShelf.RESULTS)
                    || n.text("name").equals(DurableShelf.INTENTS) || n.text("name").equals(Settling.AUDIT))) {
                throw new BadSetting(at + ".name is '" + n.text("name") + "', which belongs to the results part");
            }
            if (!names.add(n.text("name"))) {
                throw new BadSetting(at + ".name is '" + n.text("name") + "', which is there already");
            }
        }
        if (results != null) {
            // Nothing in its window may go to make room, so both refuse; an open intent takes under 1.2 KB.
            all.add(new Namespace(DurableShelf.RESULTS, results.whole("bound_mb", 1, 1 << 20) * (long) MB, false));
            all.add(new Namespace(DurableShelf.INTENTS, Long.MAX_VALUE, false));
            all.add(new Namespace(Settling.AUDIT, Long.MAX_VALUE, false));
        }
        if (all.size() > Namespace.MOST) {
            throw new BadSetting("durable.namespaces has " + all.size() + " entries, the most is " + Namespace.MOST);
        }
        return all;
    }

    private void check() {
        if (results != null) {
            results.only("bound_mb");
        }
        durable.only("dir", "second_dir", "segment_mb", "sector_bytes", "dead_share", "scrub_every_h", "pending_mb",
                "force_every_ms", "upkeep_mb_per_s", "namespaces");
        if (first().equals(second())) {
            throw new BadSetting("durable.second_dir is where the first copy is: another directory is needed");
        }
        segmentBytes();
        sector();
        deadShare();
        namespaces();
        durable.whole("scrub_every_h", 0, 8_760, 24);
        durable.whole("pending_mb", 1, 1_024, 64);
        durable.whole("force_every_ms", 0, 10_000, 0);
        durable.whole("upkeep_mb_per_s", 1, 10_000, 32);
    }
}
