package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A plain, slow model of changes and their outcomes: a list of maps, one per revision, searched for every query. */
final class PlainChanges {
    /** A command that changes some caps from one value to another; -1 is no cap. */
    record Asked(String command, String by, Map<String, Integer> before, Map<String, Integer> after) {}

    private static final class Step {
        final Map<String, Integer> caps;
        final List<Asked> asked;
        final int base;
        boolean turnedDown;

        Step(Map<String, Integer> caps, List<Asked> asked, int base) {
            this.caps = caps;
            this.asked = asked;
            this.base = base;
        }
    }

    private final List<Step> steps = new ArrayList<>();
    private final List<List<Asked>> toTry = new ArrayList<>(); // halves of rejected batches
    private final List<Asked> waiting = new ArrayList<>();
    private int inForce; // 0 for none
    private int open; // 0 for none

    private Map<String, Integer> caps(int revision) {
        return revision == 0 ? Map.of() : steps.get(revision - 1).caps;
    }

    Map<String, Integer> inForce() {
        return caps(inForce);
    }

    int revisions() {
        return steps.size();
    }

    int inForceNumber() {
        return inForce;
    }

    boolean isOpen() {
        return open > 0;
    }

    Map<String, Integer> opened() {
        return caps(open);
    }

    private List<Asked> allWaiting() {
        List<Asked> all = new ArrayList<>();
        toTry.forEach(all::addAll);
        all.addAll(waiting);
        return all;
    }

    // ---- commands of operators; each returns the answer as text

    String change(Asked asked) {
        for (String tenant : asked.after.keySet()) {
            if (isOpen() && (differs(open, tenant) || isAsked(open, tenant))) {
                return "conflict " + tenant + " " + whoChanged(open, tenant);
            }
            for (Asked other : allWaiting()) {
                if (other.after.containsKey(tenant)) {
                    return "conflict " + tenant + " " + other.by;
                }
            }
        }
        for (String tenant : asked.after.keySet()) {
            if (!holds(asked, tenant)) {
                return "conflict " + tenant + " " + lastChanged(tenant);
            }
        }
        if (isOpen()) {
            waiting.add(asked);
            return "waiting " + (allWaiting().size() - 1);
        }
        return propose(with(inForce(), asked), List.of(asked));
    }

    String whole(String command, String by, int expected, Map<String, Integer> caps) {
        if (!allWaiting().isEmpty()) {
            return "race " + allWaiting().get(0).by;
        }
        if (isOpen()) {
            return "race " + author(steps.get(open - 1));
        }
        if (expected != inForce) {
            return "race " + (inForce == 0 ? "nobody" : author(steps.get(inForce - 1)));
        }
        return propose(caps, List.of(new Asked(command, by, Map.of(), Map.of())));
    }

    String rollback(String command, String by, int expected, int to) {
        if (to < 1 || to > steps.size() || to == open || steps.get(to - 1).turnedDown) {
            return "no such";
        }
        return whole(command, by, expected, caps(to));
    }

    private static String author(Step step) {
        int more = step.asked.size() - 1;
        return step.asked.get(0).by + (more == 0 ? "" : " and " + more + " more");
    }

    private String propose(Map<String, Integer> caps, List<Asked> asked) {
        steps.add(new Step(caps, asked, inForce));
        open = steps.size();
        return "done " + open;
    }

    private static Map<String, Integer> with(Map<String, Integer> caps, Asked asked) {
        Map<String, Integer> changed = new TreeMap<>(caps);
        asked.after.forEach((tenant, cap) -> {
            if (cap < 0) {
                changed.remove(tenant);
            } else {
                changed.put(tenant, cap);
            }
        });
        return changed;
    }

    private boolean holds(Asked asked, String tenant) {
        return inForce().getOrDefault(tenant, -1).equals(asked.before.get(tenant));
    }

    private boolean differs(int revision, String tenant) {
        Integer before = caps(steps.get(revision - 1).base).get(tenant);
        Integer after = caps(revision).get(tenant);
        return before == null ? after != null : !before.equals(after);
    }

    private boolean isAsked(int revision, String tenant) {
        return steps.get(revision - 1).asked.stream().anyMatch(asked -> asked.after.containsKey(tenant));
    }

    private String whoChanged(int revision, String tenant) {
        for (Asked asked : steps.get(revision - 1).asked) {
            if (asked.after.containsKey(tenant)) {
                return asked.by;
            }
        }
        return steps.get(revision - 1).asked.get(0).by;
    }

    private String lastChanged(String tenant) {
        for (int revision = inForce; revision > 0; revision = steps.get(revision - 1).base) {
            if (differs(revision, tenant)) {
                return whoChanged(revision, tenant);
            }
        }
        return "unknown";
    }

    // ---- reports of servers

    void decide(boolean can) {
        Step step = steps.get(open - 1);
        if (can) {
            inForce = open;
        } else {
            step.turnedDown = true;
            int half = step.asked.size() / 2;
            if (half > 0) {
                toTry.add(0, step.asked.subList(half, step.asked.size()));
                toTry.add(0, step.asked.subList(0, half));
            }
        }
        open = 0;
        takeUp();
    }

    private void takeUp() {
        while (open == 0 && !allWaiting().isEmpty()) {
            List<Asked> batch = toTry.isEmpty() ? List.copyOf(waiting) : toTry.remove(0);
            waiting.removeAll(batch);
            List<Asked> holding = new ArrayList<>();
            Map<String, Integer> caps = inForce();
            for (Asked asked : batch) {
                if (asked.after.keySet().stream().allMatch(tenant -> holds(asked, tenant))) {
                    holding.add(asked);
                    caps = with(caps, asked);
                }
            }
            if (!holding.isEmpty()) {
                propose(caps, holding);
            }
        }
    }

    // ---- outcomes of commands

    String outcome(String command) {
        List<Asked> all = allWaiting();
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).command.equals(command)) {
                return "waiting " + i;
            }
        }
        for (int revision = steps.size(); revision > 0; revision--) {
            Step step = steps.get(revision - 1);
            if (step.asked.stream().anyMatch(asked -> asked.command.equals(command))) {
                return step.turnedDown ? "cannot " + revision : "done " + revision;
            }
        }
        return "not taken";
    }
}
