package tallyweir.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A plain, slow model of changes and their outcomes: a list of maps, one per revision, searched for every query. */
final class PlainChanges {
    /** A command that changes some caps from one value to another; -1 is no cap. */
    record ChangeRequest(String command, String author, Map<String, Integer> before, Map<String, Integer> after) {}

    private static final class RevisionModel {
        final Map<String, Integer> caps;
        final List<ChangeRequest> requests;
        final int base;
        boolean rejected;

        RevisionModel(Map<String, Integer> caps, List<ChangeRequest> requests, int base) {
            this.caps = caps;
            this.requests = requests;
            this.base = base;
        }
    }

    private final List<RevisionModel> revisions = new ArrayList<>();
    private final List<List<ChangeRequest>> retries = new ArrayList<>(); // halves of rejected batches
    private final List<ChangeRequest> waiting = new ArrayList<>();
    private int inForce; // 0 for none
    private int proposed; // 0 for none

    private Map<String, Integer> caps(int revision) {
        return revision == 0 ? Map.of() : revisions.get(revision - 1).caps;
    }

    Map<String, Integer> inForce() {
        return caps(inForce);
    }

    int revisions() {
        return revisions.size();
    }

    int inForceNumber() {
        return inForce;
    }

    boolean isProposed() {
        return proposed > 0;
    }

    Map<String, Integer> proposedCaps() {
        return caps(proposed);
    }

    private List<ChangeRequest> allWaiting() {
        List<ChangeRequest> all = new ArrayList<>();
        retries.forEach(all::addAll);
        all.addAll(waiting);
        return all;
    }

    // ---- commands of operators; each returns the answer as text

    String change(ChangeRequest request) {
        for (String tenant : request.after.keySet()) {
            if (isProposed() && (differs(proposed, tenant) || isRequested(proposed, tenant))) {
                return "conflict " + tenant + " " + authorOfChange(proposed, tenant);
            }
            for (ChangeRequest other : allWaiting()) {
                if (other.after.containsKey(tenant)) {
                    return "conflict " + tenant + " " + other.author;
                }
            }
        }
        for (String tenant : request.after.keySet()) {
            if (!isUnchanged(request, tenant)) {
                return "conflict " + tenant + " " + lastAuthor(tenant);
            }
        }
        if (isProposed()) {
            waiting.add(request);
            return "waiting " + (allWaiting().size() - 1);
        }
        return propose(with(inForce(), request), List.of(request));
    }

    String publish(String command, String author, int expected, Map<String, Integer> caps) {
        if (!allWaiting().isEmpty()) {
            return "race " + allWaiting().get(0).author;
        }
        if (isProposed()) {
            return "race " + author(revisions.get(proposed - 1));
        }
        if (expected != inForce) {
            return "race " + (inForce == 0 ? "nobody" : author(revisions.get(inForce - 1)));
        }
        return propose(caps, List.of(new ChangeRequest(command, author, Map.of(), Map.of())));
    }

    String rollback(String command, String author, int expected, int target) {
        if (target < 1 || target > revisions.size() || target == proposed || revisions.get(target - 1).rejected) {
            return "no such";
        }
        return publish(command, author, expected, caps(target));
    }

    private static String author(RevisionModel step) {
        int more = step.requests.size() - 1;
        return step.requests.get(0).author + (more == 0 ? "" : " and " + more + " more");
    }

    private String propose(Map<String, Integer> caps, List<ChangeRequest> requests) {
        revisions.add(new RevisionModel(caps, requests, inForce));
        proposed = revisions.size();
        return "done " + proposed;
    }

    private static Map<String, Integer> with(Map<String, Integer> caps, ChangeRequest request) {
        Map<String, Integer> changed = new TreeMap<>(caps);
        request.after.forEach((tenant, cap) -> {
            if (cap < 0) {
                changed.remove(tenant);
            } else {
                changed.put(tenant, cap);
            }
        });
        return changed;
    }

    private boolean isUnchanged(ChangeRequest request, String tenant) {
        return inForce().getOrDefault(tenant, -1).equals(request.before.get(tenant));
    }

    private boolean differs(int revision, String tenant) {
        Integer before = caps(revisions.get(revision - 1).base).get(tenant);
        Integer after = caps(revision).get(tenant);
        return before == null ? after != null : !before.equals(after);
    }

    private boolean isRequested(int revision, String tenant) {
        return revisions.get(revision - 1).requests.stream().anyMatch(asked -> asked.after.containsKey(tenant));
    }

    private String authorOfChange(int revision, String tenant) {
        for (ChangeRequest asked : revisions.get(revision - 1).requests) {
            if (asked.after.containsKey(tenant)) {
                return asked.author;
            }
        }
        return revisions.get(revision - 1).requests.get(0).author;
    }

    private String lastAuthor(String tenant) {
        for (int revision = inForce; revision > 0; revision = revisions.get(revision - 1).base) {
            if (differs(revision, tenant)) {
                return authorOfChange(revision, tenant);
            }
        }
        return "unknown";
    }

    // ---- reports of servers

    void decide(boolean isAccepted) {
        RevisionModel revision = revisions.get(proposed - 1);
        if (isAccepted) {
            inForce = proposed;
        } else {
            revision.rejected = true;
            int half = revision.requests.size() / 2;
            if (half > 0) {
                retries.add(0, revision.requests.subList(half, revision.requests.size()));
                retries.add(0, revision.requests.subList(0, half));
            }
        }
        proposed = 0;
        proposeWaiting();
    }

    private void proposeWaiting() {
        while (proposed == 0 && !allWaiting().isEmpty()) {
            List<ChangeRequest> batch = retries.isEmpty() ? List.copyOf(waiting) : retries.remove(0);
            waiting.removeAll(batch);
            List<ChangeRequest> unchanged = new ArrayList<>();
            Map<String, Integer> caps = inForce();
            for (ChangeRequest asked : batch) {
                if (asked.after.keySet().stream().allMatch(tenant -> isUnchanged(asked, tenant))) {
                    unchanged.add(asked);
                    caps = with(caps, asked);
                }
            }
            if (!unchanged.isEmpty()) {
                propose(caps, unchanged);
            }
        }
    }

    // ---- outcomes of commands

    String outcome(String command) {
        List<ChangeRequest> all = allWaiting();
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i).command.equals(command)) {
                return "waiting " + i;
            }
        }
        for (int revision = revisions.size(); revision > 0; revision--) {
            RevisionModel step = revisions.get(revision - 1);
            if (step.requests.stream().anyMatch(asked -> asked.command.equals(command))) {
                return step.rejected ? "cannot " + revision : "done " + revision;
            }
        }
        return "not taken";
    }
}
