package tallyweir.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.fleet.Digest;
import tallyweir.ids.TenantId;
import tallyweir.ids.WorkloadId;

/** What a revision says, read and checked here alone, before it is proposed and again by each server that is to act on it. */
public final class Routing {
    private static final int WEIGHT_MOST = 1_000;

    /** A store, with the share of calls that it gets beside others; for some workloads alone, or for all. */
    public record Target(InetSocketAddress at, int weight, Set<WorkloadId> workloads) {
        public boolean serves(WorkloadId workload) {
            return workloads.isEmpty() || workloads.contains(workload);
        }

        private String text() {
            return at.getAddress().getHostAddress() + ":" + at.getPort() + "*" + weight
                    + new TreeSet<>(workloads.stream().map(WorkloadId::value).toList());
        }
    }

    public final List<Target> stores = new ArrayList<>();
    public final InetSocketAddress announce; // null: as each server was configured
    public final Map<String, InetSocketAddress> kernels = new TreeMap<>();
    public final Map<TenantId, Integer> caps = new HashMap<>();
    public final Set<String> standBack = new TreeSet<>();

    private Routing(Tree all) {
        Set<String> faults = new LinkedHashSet<>();
        check(faults, () -> all.only("stores", "announce", "kernels", "caps", "stand_back"));
        List<Tree> targets = new ArrayList<>();
        check(faults, () -> targets.addAll(all.each("stores")));
        for (Tree t : targets) {
            check(faults, () -> t.only("address", "weight", "workloads"));
            check(
                    faults,
                    () -> stores.add(new Target(
                            t.address("address"),
                            t.whole("weight", 1, WEIGHT_MOST, 1),
                            new LinkedHashSet<>(t.texts("workloads").stream()
                                    .map(WorkloadId::new)
                                    .toList()))));
        }
        InetSocketAddress[] at = new InetSocketAddress[1];
        check(faults, () -> at[0] = all.has("announce") ? all.address("announce") : null);
        announce = at[0];
        Tree named = all.in("kernels");
        named.names().forEach(n -> check(faults, () -> kernels.put(n, named.address(n))));
        Tree capped = all.in("caps");
        capped.names().forEach(t -> check(faults, () -> caps.put(new TenantId(t), capped.whole(t, 0, 1 << 24))));
        check(faults, () -> standBack.addAll(all.texts("stand_back")));
        if (!faults.isEmpty()) {
            throw new BadSetting(String.join("; ", faults));
        }
    }

    private static void check(Set<String> faults, Runnable read) {
        try {
            read.run();
        } catch (BadSetting e) {
            faults.add(e.getMessage());
        }
    }

    /** Reads a revision; of a faulty one all keys are named at once. */
    public static Routing parse(byte[] json) {
        try (JsonParser in = new JsonFactory().createParser(json)) {
            in.nextToken();
            return new Routing(Tree.read(in, ""));
        } catch (JsonProcessingException e) {
            throw new BadSetting("the revision is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadSetting("the revision cannot be read: " + e);
        }
    }

    /** Why a server with these workloads could not act on it, empty if it could. */
    public String cannot(Set<WorkloadId> workloads) {
        for (Target t : stores) {
            for (WorkloadId w : t.workloads) {
                if (!workloads.contains(w)) {
                    return "stores: the workload " + w.value() + " is unknown at this server";
                }
            }
        }
        for (WorkloadId w : workloads) {
            if (!stores.isEmpty() && stores.stream().noneMatch(t -> t.serves(w))) {
                return "stores: no store serves the workload " + w.value();
            }
        }
        return "";
    }

    /** What is in force where it is acted on: one digest for the servers that it does not name, one for each that it does. */
    public Map<String, Digest> digests() {
        Map<String, Digest> all = new HashMap<>();
        all.put("", inForce(stores, announce, null, caps, false));
        Set<String> names = new TreeSet<>(kernels.keySet());
        names.addAll(standBack);
        names.forEach(n -> all.put(n, inForce(stores, announce, kernels.get(n), caps, standBack.contains(n))));
        return all;
    }

    /** The digest of what is in force at a server, of the parts in use there. */
    public static Digest inForce(
            List<Target> stores,
            InetSocketAddress announce,
            InetSocketAddress kernel,
            Map<TenantId, Integer> caps,
            boolean back) {
        TreeMap<String, Integer> sorted = new TreeMap<>();
        caps.forEach((t, n) -> sorted.put(t.value(), n));
        return Digest.of("stores " + stores.stream().map(Target::text).sorted().toList() + "\nannounce "
                + text(announce) + "\nkernel " + text(kernel) + "\ncaps " + sorted + "\nback " + back);
    }

    private static String text(InetSocketAddress at) {
        return at == null ? "-" : at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
