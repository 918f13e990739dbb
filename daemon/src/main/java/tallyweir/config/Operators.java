package tallyweir.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tallyweir.durable.FileStore;
import tallyweir.durable.Namespace;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.FleetClients;
import tallyweir.fleet.FleetSettings;
import tallyweir.fleet.Guard;
import tallyweir.results.DurableResultStore;
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
    private final Tree fleet;

    private Operators(Tree all) {
        all.only("durable", "results", "watch", "fleet");
        durable = all.has("durable") ? all.in("durable") : null;
        results = all.has("results") ? all.in("results") : null;
        watch = all.has("watch") ? all.in("watch") : null;
        fleet = all.has("fleet") ? all.in("fleet") : null;
        if (fleet != null) {
            checkFleet();
        }
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

    /** Whether this server is in a fleet. */
    public boolean inFleet() {
        return fleet != null;
    }

    /** The name of the fleet. */
    public String fleetName() {
        return fleet.text("name");
    }

    /** Who keeps the fleet's log: names and addresses. */
    public Map<String, String> voters() {
        Tree v = fleet.in("voters");
        Map<String, String> all = new LinkedHashMap<>();
        v.names().forEach(n -> all.put(n, v.text(n)));
        return all;
    }

    /** How long a server may rely on what it is lent, tenths of a millisecond. */
    public long lease() {
        return fleet.whole("lease_ms", 500, 600_000, 10_000) * 10L;
    }

    /** How long a connection counts for a tenant after its last query. */
    public long linger() {
        return fleet.whole("linger_ms", 0, 60_000, 1_000) * 10L;
    }

    /** Whether a server that is out of its fleet stands back whole. */
    public boolean standsBackWhenOut() {
        return fleet.text("when_out", "serve").equals("stand_back");
    }

    /** Opens this server's client of the fleet; longestHard is how long any query is open at the most. */
    public FleetClient openFleet(FleetClients clients, String self, long longestHard, Set<Guard> without) {
        return clients.open(fleetName(), voters(), self, fleet.text("dir", ""), fleetSettings(longestHard), without);
    }

    /** What the fleet goes by; longestHard is how long any query is open at the most. */
    public FleetSettings fleetSettings(long longestHard) {
        return new FleetSettings(
                fleet.whole("settings_version", 1, 1 << 30, 1),
                lease(),
                longestHard + linger(),
                fleet.whole("floor_lease_ms", 1_000, 604_800_000, 3_600_000) * 10L,
                fleet.whole("behind_ms", 500, 3_600_000, 30_000) * 10L,
                share("drift", 0.1, 0.01),
                share("most_out", 1, 0.34),
                share("most_cannot", 1, 0.25),
                fleet.whole("servers_most", 1, 100_000, 64),
                share("floor_share", 1, 0.2),
                fleet.whole("probation_ms", 0, 3_600_000, 30_000) * 10L,
                share("worse_ratio", 100, 2),
                share("sick_share", 1, 0.5));
    }

    private double share(String key, double most, double absent) {
        double is = fleet.number(key, absent);
        if (!(is >= 0 && is <= most)) {
            throw new BadSetting("fleet." + key + " is " + is + ": 0 to " + most + " is needed");
        }
        return is;
    }

    private void checkFleet() {
        fleet.only(
                "name",
                "voters",
                "dir",
                "settings_version",
                "lease_ms",
                "linger_ms",
                "floor_lease_ms",
                "behind_ms",
                "drift",
                "most_out",
                "most_cannot",
                "servers_most",
                "floor_share",
                "probation_ms",
                "worse_ratio",
                "sick_share",
                "when_out");
        fleet.word("when_out", "serve", "stand_back");
        fleetName();
        if (voters().size() != 1 && voters().size() != 3 && voters().size() != 5) {
            throw new BadSetting(
                    "fleet.voters has " + voters().size() + " entries: 3 or 5 are needed, 1 to try it out");
        }
        voters().forEach((n, at) -> {
            if (!at.matches("[^ :]+:[0-9]{1,5}")) {
                throw new BadSetting("fleet.voters." + n + " is '" + at + "': a name or address and a port are needed");
            }
        });
        lease();
        linger();
        fleetSettings(0);
        fleet.text("dir", "");
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
        return new FileStore(
                first(),
                second(),
                segmentBytes(),
                sector(),
                deadShare(),
                durable.whole("scrub_every_h", 0, 8_760, 24) * 36_000_000L,
                durable.whole("pending_mb", 1, 1_024, 64) * (long) MB,
                durable.whole("force_every_ms", 0, 10_000, 0) * 1_000_000L,
                durable.whole("upkeep_mb_per_s", 1, 10_000, 32) * (long) MB,
                namespaces());
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
    public Path adminSocket() {
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
                all.add(new Namespace(
                        n.text("name"), n.whole("bound_mb", 1, 1 << 20) * (long) MB, then.equals("drop_oldest")));
            } catch (IllegalArgumentException e) {
                throw new BadSetting(at + ".name: " + e.getMessage());
            }
            if (results != null
                    && (n.text("name").equals(DurableResultStore.RESULTS)
                            || n.text("name").equals(DurableResultStore.INTENTS)
                            || n.text("name").equals(Settling.AUDIT))) {
                throw new BadSetting(at + ".name is '" + n.text("name") + "', which belongs to the results part");
            }
            if (!names.add(n.text("name"))) {
                throw new BadSetting(at + ".name is '" + n.text("name") + "', which is there already");
            }
        }
        if (results != null) {
            // Nothing in its window may go to make room, so both refuse; an open intent takes under 1.2 KB.
            all.add(new Namespace(
                    DurableResultStore.RESULTS, results.whole("bound_mb", 1, 1 << 20) * (long) MB, false));
            all.add(new Namespace(DurableResultStore.INTENTS, Long.MAX_VALUE, false));
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
        durable.only(
                "dir",
                "second_dir",
                "segment_mb",
                "sector_bytes",
                "dead_share",
                "scrub_every_h",
                "pending_mb",
                "force_every_ms",
                "upkeep_mb_per_s",
                "namespaces");
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
