package tallyweir.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import tallyweir.ids.TenantId;

/** Every revision there has been, each body once, and what live servers say of the one that is proposed. */
final class Revisions {
    private static final int REASONS_MOST = 8;

    private final TreeMap<RevisionId, Revision> all = new TreeMap<>();
    private final Map<Digest, Body> bodies = new HashMap<>();
    private final Map<OperatorCommand, Revision> commands = new HashMap<>();
    private RevisionId inForce = RevisionId.NONE;
    private RevisionId proposed = RevisionId.NONE;
    private long proposedUntil;
    private final TreeSet<ServerId> unasked = new TreeSet<>(); // live ones that have not said whether they can take it
    private final TreeMap<ServerId, String> cannot = new TreeMap<>();
    private int can;

    Revision get(RevisionId id) {
        return all.get(id);
    }

    Collection<Revision> all() {
        return all.values();
    }

    /** The one that was in force before the one in force, null if there was none. */
    Revision before() {
        for (Revision r : all.descendingMap().values()) {
            if (r.fate == Revision.Fate.PAST) {
                return r;
            }
        }
        return null;
    }

    Revision by(OperatorCommand command) {
        return commands.get(command);
    }

    Revision last() {
        return all.isEmpty() ? null : all.lastEntry().getValue();
    }

    RevisionId inForce() {
        return inForce;
    }

    RevisionId proposed() {
        return proposed;
    }

    long proposedUntil() {
        return proposedUntil;
    }

    Body body(RevisionId id) {
        Revision r = all.get(id);
        return r == null ? null : bodies.get(r.body);
    }

    Map<TenantId, Integer> caps(RevisionId id) {
        Body b = body(id);
        return b == null ? Map.of() : b.caps();
    }

    int bodies() {
        return bodies.size();
    }

    Revision propose(
            OperatorCommand command,
            RevisionId of,
            Digest digest,
            Body body,
            String by,
            String why,
            boolean forced,
            long wall,
            long until,
            Collection<ServerId> ask) {
        Revision r = new Revision(
                new RevisionId(all.isEmpty() ? 1 : all.lastKey().value() + 1),
                command,
                of,
                digest,
                by,
                why,
                forced,
                wall);
        bodies.putIfAbsent(digest, body);
        all.put(r.id, r);
        commands.put(command, r);
        proposed = r.id;
        proposedUntil = until;
        unasked.clear();
        unasked.addAll(ask);
        cannot.clear();
        can = 0;
        return r;
    }

    /** A server has looked at the proposed one; why it cannot take it, empty if it can. */
    void checked(ServerId server, RevisionId which, String why) {
        if (which.equals(proposed) && unasked.remove(server)) {
            if (why.isEmpty()) {
                can++;
            } else {
                cannot.put(server, why);
            }
        }
    }

    /** One that is not live any more need not say. */
    void notLive(ServerId server) {
        unasked.remove(server);
    }

    boolean open() {
        return proposed.value() > 0;
    }

    boolean allSaid() {
        return unasked.isEmpty();
    }

    /** Those who are silent though live count as unable once its time is over. */
    void timeOver() {
        unasked.forEach(s -> cannot.put(s, "it did not say in time"));
        unasked.clear();
    }

    double cannotShare() {
        int said = can + cannot.size();
        return said == 0 ? 0 : cannot.size() / (double) said;
    }

    boolean forced() {
        return all.get(proposed).forced;
    }

    void comesIntoForce(long now, long wall) {
        if (inForce.value() > 0) {
            all.get(inForce).fate = Revision.Fate.PAST;
        }
        Revision r = all.get(proposed);
        r.fate = Revision.Fate.IN_FORCE;
        r.since = now;
        r.sinceWall = wall;
        inForce = proposed;
        proposed = RevisionId.NONE;
    }

    void turnDown() {
        Revision r = all.get(proposed);
        r.fate = Revision.Fate.TURNED_DOWN;
        StringBuilder s = new StringBuilder();
        cannot.entrySet().stream()
                .limit(REASONS_MOST)
                .forEach(e -> s.append(s.length() == 0 ? "" : "; ")
                        .append(e.getKey().value())
                        .append(": ")
                        .append(e.getValue()));
        r.reasons = cannot.size() + " of " + (can + cannot.size()) + " cannot take it: " + s;
        proposed = RevisionId.NONE;
        if (all.values().stream().noneMatch(x -> x != r && x.body.equals(r.body))) {
            bodies.remove(r.body); // nobody can come back to it
        }
    }

    // ---- for snapshots

    Map<String, Object> save() {
        Map<String, Object> s = new TreeMap<>();
        List<Object> revisions = new ArrayList<>();
        all.values()
                .forEach(r -> revisions.add(List.of(
                        r.id.value(),
                        r.command.value(),
                        r.of.value(),
                        r.body.value(),
                        r.by,
                        r.why,
                        r.forced,
                        r.proposedWall,
                        r.fate.name(),
                        r.since,
                        r.sinceWall,
                        r.reasons)));
        List<Object> kept = new ArrayList<>();
        new TreeMap<>(byName()).forEach((digest, b) -> {
            Map<String, Object> caps = new TreeMap<>();
            b.caps().forEach((t, n) -> caps.put(t.value(), n));
            Map<String, Object> digests = new TreeMap<>();
            b.digests().forEach((n, d) -> digests.put(n, d.value()));
            kept.add(List.of(digest, b.bytes(), caps, digests));
        });
        s.put("all", revisions);
        s.put("bodies", kept);
        s.put("in_force", inForce.value());
        s.put("proposed", proposed.value());
        s.put("until", proposedUntil);
        s.put("unasked", unasked.stream().map(ServerId::value).toList());
        Map<String, Object> reasons = new TreeMap<>();
        cannot.forEach((n, why) -> reasons.put(n.value(), why));
        s.put("cannot", reasons);
        s.put("can", can);
        return s;
    }

    private Map<String, Body> byName() {
        Map<String, Body> named = new HashMap<>();
        bodies.forEach((d, b) -> named.put(d.value(), b));
        return named;
    }

    void load(Map<?, ?> s) {
        for (Object each : (List<?>) s.get("all")) {
            List<?> f = (List<?>) each;
            Revision r = new Revision(
                    new RevisionId(number(f.get(0))),
                    new OperatorCommand((String) f.get(1)),
                    new RevisionId(number(f.get(2))),
                    new Digest((String) f.get(3)),
                    (String) f.get(4),
                    (String) f.get(5),
                    (Boolean) f.get(6),
                    number(f.get(7)));
            r.fate = Revision.Fate.valueOf((String) f.get(8));
            r.since = number(f.get(9));
            r.sinceWall = number(f.get(10));
            r.reasons = (String) f.get(11);
            all.put(r.id, r);
            commands.put(r.command, r);
        }
        for (Object each : (List<?>) s.get("bodies")) {
            List<?> f = (List<?>) each;
            Map<TenantId, Integer> caps = new HashMap<>();
            ((Map<?, ?>) f.get(2)).forEach((t, n) -> caps.put(new TenantId((String) t), ((Number) n).intValue()));
            Map<String, Digest> digests = new HashMap<>();
            ((Map<?, ?>) f.get(3)).forEach((n, d) -> digests.put((String) n, new Digest((String) d)));
            bodies.put(new Digest((String) f.get(0)), new Body((byte[]) f.get(1), caps, digests));
        }
        inForce = new RevisionId(number(s.get("in_force")));
        proposed = new RevisionId(number(s.get("proposed")));
        proposedUntil = number(s.get("until"));
        ((List<?>) s.get("unasked")).forEach(n -> unasked.add(new ServerId((String) n)));
        ((Map<?, ?>) s.get("cannot")).forEach((n, why) -> cannot.put(new ServerId((String) n), (String) why));
        can = (int) number(s.get("can"));
    }

    static long number(Object of) {
        return ((Number) of).longValue();
    }
}
