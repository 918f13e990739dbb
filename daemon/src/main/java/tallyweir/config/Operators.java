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
 * The operators' own settings file, which EDGE_OPERATORS names: settings that do not come from the platform. All parsing,
 * validation and defaults of the file are in this class. A feature whose part is missing is off, and without a file all are.
 */
public final class Operators {
    private static final int MB = 1 << 20;

    private final Tree durable;
    private final Tree results;
    private final Tree watch;
    private final Tree fleet;

    private Operators(Tree root) {
        root.only("durable", "results", "watch", "fleet");
        durable = root.has("durable") ? root.in("durable") : null;
        results = root.has("results") ? root.in("results") : null;
        watch = root.has("watch") ? root.in("watch") : null;
        fleet = root.has("fleet") ? root.in("fleet") : null;
        if (fleet != null) {
            checkFleet();
        }
        if (watch != null) {
            watch.only("settings");
        }
        if (results != null && durable == null) {
            throw new BadSetting("results needs a durable part: the store in which results are retained");
        }
        if (durable != null) {
            check();
        }
    }

    /**
     * Reads the file that EDGE_OPERATORS names; if the variable is unset, every feature is off.
     *
     * @throws BadSetting if the file cannot be read or has an invalid key
     */
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

    /**
     * The shadow settings, which are only compared with those in force, completely validated.
     *
     * @return null if the file has none
     */
    public Settings watched(Settings inForce) {
        return watch == null ? null : inForce.watched(watch.in("settings"));
    }

    /** Whether this server is a member of a fleet; if not, no other method about the fleet may be called. */
    public boolean inFleet() {
        return fleet != null;
    }

    /** The name of the fleet that this server joins. */
    public String fleetName() {
        return fleet.text("name");
    }

    /** The voters that replicate the fleet's log: {@code host:port} by name, in the order of the file. */
    public Map<String, String> voters() {
        Tree voters = fleet.in("voters");
        Map<String, String> addresses = new LinkedHashMap<>();
        voters.names().forEach(name -> addresses.put(name, voters.text(name)));
        return addresses;
    }

    /** How long a server may use its lease without renewal, in tenths of a millisecond. */
    public long lease() {
        return fleet.whole("lease_ms", 500, 600_000, 10_000) * 10L;
    }

    /** How long a connection counts for a tenant after its last query, in tenths of a millisecond. */
    public long linger() {
        return fleet.whole("linger_ms", 0, 60_000, 1_000) * 10L;
    }

    /** Whether a server that is out of its fleet withdraws from service. */
    public boolean standsBackWhenOut() {
        return fleet.text("when_out", "serve").equals("stand_back");
    }

    /**
     * Opens this server's client of the fleet.
     *
     * @param self the name of this server
     * @param maxHardLimit the maximum time that a query is open, in tenths of a millisecond
     * @param without guards that are switched off, for drills
     */
    public FleetClient openFleet(FleetClients clients, String self, long maxHardLimit, Set<Guard> without) {
        return clients.open(fleetName(), voters(), self, fleet.text("dir", ""), fleetSettings(maxHardLimit), without);
    }

    /**
     * The settings of the fleet.
     *
     * @param maxHardLimit the maximum time that a query is open, in tenths of a millisecond
     */
    public FleetSettings fleetSettings(long maxHardLimit) {
        return new FleetSettings(
                fleet.whole("settings_version", 1, 1 << 30, 1),
                lease(),
                maxHardLimit + linger(),
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

    private double share(String key, double max, double defaultValue) {
        double is = fleet.number(key, defaultValue);
        if (!(is >= 0 && is <= max)) {
            throw new BadSetting("fleet." + key + " is " + is + ": 0 to " + max + " is needed");
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
        voters().forEach((name, address) -> {
            if (!address.matches("[^ :]+:[0-9]{1,5}")) {
                throw new BadSetting(
                        "fleet.voters." + name + " is '" + address + "': a name or address and a port are needed");
            }
        });
        lease();
        linger();
        fleetSettings(0);
        fleet.text("dir", "");
    }

    /** Whether this server has a durable store. If not, none of the methods about it may be called. */
    public boolean hasDurable() {
        return durable != null;
    }

    /** Whether the results of queries with an effect are retained across restarts. */
    public boolean keepsResults() {
        return results != null;
    }

    /** Opens the durable store with the settings of the file. */
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

    /** The directory of the first copy. */
    public Path first() {
        return Path.of(durable.text("dir")).resolve("first");
    }

    /** The directory of the second copy: beside the first by default; a directory on another disk is best. */
    public Path second() {
        String second = durable.text("second_dir", "");
        return second.isEmpty() ? Path.of(durable.text("dir")).resolve("second") : Path.of(second);
    }

    /** The socket on which the process that holds the store answers operators. */
    public Path adminSocket() {
        return Path.of(durable.text("dir")).resolve("desk");
    }

    /** The size of a segment of the log, in bytes. */
    public int segmentBytes() {
        return durable.whole("segment_mb", 1, 1_024, 64) * MB;
    }

    /** The size of the disk's sectors, in bytes: a power of two from 512 to 65536. */
    public int sector() {
        int sector = durable.whole("sector_bytes", 512, 65_536, 4_096);
        if (Integer.bitCount(sector) != 1) {
            throw new BadSetting("durable.sector_bytes is " + sector + ": a power of two is needed");
        }
        return sector;
    }

    /** The share of dead bytes, from 0.1 to 0.9, from which a segment is compacted. */
    public double deadShare() {
        double share = durable.number("dead_share", 0.5);
        if (!(share >= 0.1 && share <= 0.9)) {
            throw new BadSetting("durable.dead_share is " + share + ": 0.1 to 0.9 is needed");
        }
        return share;
    }

    /** The namespaces of the durable store: those of the file, then those of the retained results. */
    public List<Namespace> namespaces() {
        List<Namespace> namespaces = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int i = 0;
        for (Tree namespace : durable.each("namespaces")) {
            String path = "durable.namespaces[" + i++ + "]";
            namespace.only("name", "bound_mb", "at_bound");
            String whenFull = namespace.text("at_bound", "refuse");
            if (!whenFull.equals("refuse") && !whenFull.equals("drop_oldest")) {
                throw new BadSetting(path + ".at_bound is '" + whenFull + "': refuse or drop_oldest is needed");
            }
            try {
                namespaces.add(new Namespace(
                        namespace.text("name"),
                        namespace.whole("bound_mb", 1, 1 << 20) * (long) MB,
                        whenFull.equals("drop_oldest")));
            } catch (IllegalArgumentException e) {
                throw new BadSetting(path + ".name: " + e.getMessage());
            }
            if (results != null
                    && (namespace.text("name").equals(DurableResultStore.RESULTS)
                            || namespace.text("name").equals(DurableResultStore.INTENTS)
                            || namespace.text("name").equals(Settling.AUDIT))) {
                throw new BadSetting(
                        path + ".name is '" + namespace.text("name") + "', which belongs to the results part");
            }
            if (!names.add(namespace.text("name"))) {
                throw new BadSetting(path + ".name is '" + namespace.text("name") + "', which is already defined");
            }
        }
        if (results != null) {
            // No record within its window may be dropped to make room, so these namespaces refuse new records when
            // full. An
            // open intent takes less than 1.2 KB.
            namespaces.add(new Namespace(
                    DurableResultStore.RESULTS, results.whole("bound_mb", 1, 1 << 20) * (long) MB, false));
            namespaces.add(new Namespace(DurableResultStore.INTENTS, Long.MAX_VALUE, false));
            namespaces.add(new Namespace(Settling.AUDIT, Long.MAX_VALUE, false));
        }
        if (namespaces.size() > Namespace.MOST) {
            throw new BadSetting(
                    "durable.namespaces has " + namespaces.size() + " entries, the maximum is " + Namespace.MOST);
        }
        return namespaces;
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
