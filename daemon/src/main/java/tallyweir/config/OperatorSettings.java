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
public final class OperatorSettings {
    private static final int BYTES_PER_MB = 1 << 20;

    private final SettingsObject durable;
    private final SettingsObject results;
    private final SettingsObject shadow;
    private final SettingsObject fleet;

    private OperatorSettings(SettingsObject root) {
        root.rejectUnknownKeys("durable", "results", "watch", "fleet");
        durable = root.has("durable") ? root.child("durable") : null;
        results = root.has("results") ? root.child("results") : null;
        shadow = root.has("watch") ? root.child("watch") : null;
        fleet = root.has("fleet") ? root.child("fleet") : null;
        if (fleet != null) {
            validateFleet();
        }
        if (shadow != null) {
            shadow.rejectUnknownKeys("settings");
        }
        if (results != null && durable == null) {
            throw new InvalidSettingException("results needs a durable part: the store in which results are retained");
        }
        if (durable != null) {
            validateDurable();
        }
    }

    /**
     * Reads the file that EDGE_OPERATORS names; if the variable is unset, every feature is off.
     *
     * @throws InvalidSettingException if the file cannot be read or has an invalid key
     */
    public static OperatorSettings read(Map<String, String> environment) {
        String file = environment.get("EDGE_OPERATORS");
        if (file == null || file.isEmpty()) {
            return parse(new byte[] {'{', '}'});
        }
        return read(Path.of(file));
    }

    public static OperatorSettings read(Path file) {
        try {
            return parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new InvalidSettingException("the operators' file cannot be read: " + e);
        }
    }

    public static OperatorSettings parse(byte[] json) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return new OperatorSettings(SettingsObject.read(in, ""));
        } catch (JsonProcessingException e) {
            throw new InvalidSettingException("the operators' file is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidSettingException("the operators' file cannot be read: " + e);
        }
    }

    /**
     * The shadow settings, which are only compared with those in force, completely validated.
     *
     * @return null if the file has none
     */
    public Settings shadowSettings(Settings inForce) {
        return shadow == null ? null : inForce.withOverrides(shadow.child("settings"));
    }

    /** Whether this server is a member of a fleet; if not, no other method about the fleet may be called. */
    public boolean inFleet() {
        return fleet != null;
    }

    /** The name of the fleet that this server joins. */
    public String fleetName() {
        return fleet.string("name");
    }

    /** The voters that replicate the fleet's log: {@code host:port} by name, in the order of the file. */
    public Map<String, String> voters() {
        SettingsObject voters = fleet.child("voters");
        Map<String, String> addresses = new LinkedHashMap<>();
        voters.fieldNames().forEach(name -> addresses.put(name, voters.string(name)));
        return addresses;
    }

    /** How long a server may use its lease without renewal, in tenths of a millisecond. */
    public long leaseTenthsMs() {
        return fleet.integer("lease_ms", 500, 600_000, 10_000) * 10L;
    }

    /** How long a connection counts for a tenant after its last query, in tenths of a millisecond. */
    public long lingerTenthsMs() {
        return fleet.integer("linger_ms", 0, 60_000, 1_000) * 10L;
    }

    /** Whether a server that is out of its fleet withdraws from service. */
    public boolean withdrawsWhenOut() {
        return fleet.string("when_out", "serve").equals("stand_back");
    }

    /**
     * Opens this server's client of the fleet.
     *
     * @param self the name of this server
     * @param maxHardLimit the maximum time that a query is open, in tenths of a millisecond
     * @param without guards that are switched off, for drills
     */
    public FleetClient openFleet(FleetClients clients, String self, long maxHardLimit, Set<Guard> without) {
        return clients.open(fleetName(), voters(), self, fleet.string("dir", ""), fleetSettings(maxHardLimit), without);
    }

    /**
     * The settings of the fleet.
     *
     * @param maxHardLimit the maximum time that a query is open, in tenths of a millisecond
     */
    public FleetSettings fleetSettings(long maxHardLimit) {
        return new FleetSettings(
                fleet.integer("settings_version", 1, 1 << 30, 1),
                leaseTenthsMs(),
                maxHardLimit + lingerTenthsMs(),
                fleet.integer("floor_lease_ms", 1_000, 604_800_000, 3_600_000) * 10L,
                fleet.integer("behind_ms", 500, 3_600_000, 30_000) * 10L,
                readFraction("drift", 0.1, 0.01),
                readFraction("most_out", 1, 0.34),
                readFraction("most_cannot", 1, 0.25),
                fleet.integer("servers_most", 1, 100_000, 64),
                readFraction("floor_share", 1, 0.2),
                fleet.integer("probation_ms", 0, 3_600_000, 30_000) * 10L,
                readFraction("worse_ratio", 100, 2),
                readFraction("sick_share", 1, 0.5));
    }

    private double readFraction(String key, double max, double defaultValue) {
        double is = fleet.number(key, defaultValue);
        if (!(is >= 0 && is <= max)) {
            throw new InvalidSettingException("fleet." + key + " is " + is + ": 0 to " + max + " is needed");
        }
        return is;
    }

    private void validateFleet() {
        fleet.rejectUnknownKeys(
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
        fleet.requireOneOf("when_out", "serve", "stand_back");
        fleetName();
        if (voters().size() != 1 && voters().size() != 3 && voters().size() != 5) {
            throw new InvalidSettingException(
                    "fleet.voters has " + voters().size() + " entries: 3 or 5 are needed, 1 to try it out");
        }
        voters().forEach((name, address) -> {
            if (!address.matches("[^ :]+:[0-9]{1,5}")) {
                throw new InvalidSettingException(
                        "fleet.voters." + name + " is '" + address + "': a name or address and a port are needed");
            }
        });
        leaseTenthsMs();
        lingerTenthsMs();
        fleetSettings(0);
        fleet.string("dir", "");
    }

    /** Whether this server has a durable store. If not, none of the methods about it may be called. */
    public boolean hasDurableStore() {
        return durable != null;
    }

    /** Whether the results of queries with an effect are retained across restarts. */
    public boolean retainsResults() {
        return results != null;
    }

    /** Opens the durable store with the settings of the file. */
    public FileStore openDurableStore() throws IOException {
        return new FileStore(
                firstCopyDir(),
                secondCopyDir(),
                segmentBytes(),
                sectorBytes(),
                deadShare(),
                durable.integer("scrub_every_h", 0, 8_760, 24) * 36_000_000L,
                durable.integer("pending_mb", 1, 1_024, 64) * (long) BYTES_PER_MB,
                durable.integer("force_every_ms", 0, 10_000, 0) * 1_000_000L,
                durable.integer("upkeep_mb_per_s", 1, 10_000, 32) * (long) BYTES_PER_MB,
                namespaces());
    }

    /** The directory of the first copy. */
    public Path firstCopyDir() {
        return Path.of(durable.string("dir")).resolve("first");
    }

    /** The directory of the second copy: beside the first by default; a directory on another disk is best. */
    public Path secondCopyDir() {
        String second = durable.string("second_dir", "");
        return second.isEmpty() ? Path.of(durable.string("dir")).resolve("second") : Path.of(second);
    }

    /** The socket on which the process that holds the store answers operators. */
    public Path adminSocket() {
        return Path.of(durable.string("dir")).resolve("desk");
    }

    /** The size of a segment of the log, in bytes. */
    public int segmentBytes() {
        return durable.integer("segment_mb", 1, 1_024, 64) * BYTES_PER_MB;
    }

    /** The size of the disk's sectors, in bytes: a power of two from 512 to 65536. */
    public int sectorBytes() {
        int sector = durable.integer("sector_bytes", 512, 65_536, 4_096);
        if (Integer.bitCount(sector) != 1) {
            throw new InvalidSettingException("durable.sector_bytes is " + sector + ": a power of two is needed");
        }
        return sector;
    }

    /** The share of dead bytes, from 0.1 to 0.9, from which a segment is compacted. */
    public double deadShare() {
        double share = durable.number("dead_share", 0.5);
        if (!(share >= 0.1 && share <= 0.9)) {
            throw new InvalidSettingException("durable.dead_share is " + share + ": 0.1 to 0.9 is needed");
        }
        return share;
    }

    /** The namespaces of the durable store: those of the file, then those of the retained results. */
    public List<Namespace> namespaces() {
        List<Namespace> namespaces = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int i = 0;
        for (SettingsObject namespace : durable.children("namespaces")) {
            String path = "durable.namespaces[" + i++ + "]";
            namespace.rejectUnknownKeys("name", "bound_mb", "at_bound");
            String whenFull = namespace.string("at_bound", "refuse");
            if (!whenFull.equals("refuse") && !whenFull.equals("drop_oldest")) {
                throw new InvalidSettingException(
                        path + ".at_bound is '" + whenFull + "': refuse or drop_oldest is needed");
            }
            try {
                namespaces.add(new Namespace(
                        namespace.string("name"),
                        namespace.integer("bound_mb", 1, 1 << 20) * (long) BYTES_PER_MB,
                        whenFull.equals("drop_oldest")));
            } catch (IllegalArgumentException e) {
                throw new InvalidSettingException(path + ".name: " + e.getMessage());
            }
            if (results != null
                    && (namespace.string("name").equals(DurableResultStore.RESULTS)
                            || namespace.string("name").equals(DurableResultStore.INTENTS)
                            || namespace.string("name").equals(Settling.AUDIT))) {
                throw new InvalidSettingException(
                        path + ".name is '" + namespace.string("name") + "', which belongs to the results part");
            }
            if (!names.add(namespace.string("name"))) {
                throw new InvalidSettingException(
                        path + ".name is '" + namespace.string("name") + "', which is already defined");
            }
        }
        if (results != null) {
            // No record within its window may be dropped to make room, so these namespaces refuse new records when
            // full. An
            // open intent takes less than 1.2 KB.
            namespaces.add(new Namespace(
                    DurableResultStore.RESULTS, results.integer("bound_mb", 1, 1 << 20) * (long) BYTES_PER_MB, false));
            namespaces.add(new Namespace(DurableResultStore.INTENTS, Long.MAX_VALUE, false));
            namespaces.add(new Namespace(Settling.AUDIT, Long.MAX_VALUE, false));
        }
        if (namespaces.size() > Namespace.MAX_NAMESPACES) {
            throw new InvalidSettingException("durable.namespaces has " + namespaces.size()
                    + " entries, the maximum is " + Namespace.MAX_NAMESPACES);
        }
        return namespaces;
    }

    private void validateDurable() {
        if (results != null) {
            results.rejectUnknownKeys("bound_mb");
        }
        durable.rejectUnknownKeys(
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
        if (firstCopyDir().equals(secondCopyDir())) {
            throw new InvalidSettingException(
                    "durable.second_dir is where the first copy is: another directory is needed");
        }
        segmentBytes();
        sectorBytes();
        deadShare();
        namespaces();
        durable.integer("scrub_every_h", 0, 8_760, 24);
        durable.integer("pending_mb", 1, 1_024, 64);
        durable.integer("force_every_ms", 0, 10_000, 0);
        durable.integer("upkeep_mb_per_s", 1, 10_000, 32);
    }
}
