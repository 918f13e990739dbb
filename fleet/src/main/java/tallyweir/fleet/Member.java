package tallyweir.fleet;

import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.rules.Rules;

/**
 * A server's side of the fleet protocol: decides from the fleet's answers and its own clock what the server may do now.
 * Nothing here blocks. A server that hears nothing from the fleet continues with the revision it has, and its leases
 * expire by its own clock before the fleet lends the same share to another server.
 *
 * <p>Times are tenths of a millisecond. Not thread-safe.
 */
public final class Member {
    private static final int AGAIN_MOST = 16; // bounds the delay, so that the fleet is retried regularly

    private final MemberActions out;
    private final Gate gate;
    private final Set<Guard> without;
    private final ServerId server;
    private final String listen;
    private final boolean backWhole;
    private final long again;
    private final SplittableRandom chance;
    private final Rules rules = new Rules();
    private long now;
    private Incarnation as;
    private boolean inHand; // a join or report was sent and is unanswered
    private long dueAt; // when the next report or join is due
    private long number; // of the last report
    private long sentAt; // when the last report was first sent
    private boolean answered = true; // the last report
    private long leaseUntil = Long.MIN_VALUE;
    private boolean member;
    private int failures;
    private RevisionId acting = RevisionId.NONE;
    private Digest inForce = Digest.NONE;
    private long outdated;
    private RevisionRoot wanted = RevisionRoot.NONE;
    private RevisionId moving = RevisionId.NONE;
    private RevisionId failed = RevisionId.NONE;
    private long failedAt;
    private RevisionRoot toCheck = RevisionRoot.NONE;
    private RevisionId checking = RevisionId.NONE;
    private RevisionId checked = RevisionId.NONE;
    private String cannot = "";
    private boolean back;

    /**
     * @param gate the counts of tenants' connections; this class sets how many the server may accept
     * @param again minimum delay before an unanswered request is sent again
     * @param backWhole whether a server without a lease withdraws completely, or continues without its grants
     * @param seed of the random part of delays
     * @param without guards that are switched off, for checks only
     */
    public Member(
            MemberActions out,
            Gate gate,
            ServerId server,
            String listen,
            long again,
            boolean backWhole,
            long seed,
            long now,
            Set<Guard> without) {
        this.out = out;
        this.gate = gate;
        this.server = server;
        this.listen = listen;
        this.again = again;
        this.backWhole = backWhole;
        this.without = without;
        this.now = now;
        chance = new SplittableRandom(seed);
        dueAt = now;
        // Order: expiries first, then checking and applying revisions, then requests to the fleet.
        rules.add(() -> member && now() >= leaseUntil && !without.contains(Guard.LEASE), this::leaseOver);
        rules.add(() -> shouldStandBack() != back, this::tellStandBack);
        rules.add(() -> checked.before(toCheck.id()) && !checking.equals(toCheck.id()), this::check);
        rules.add(
                () -> acting.before(wanted.id())
                        && moving.value() == 0
                        && !(failed.equals(wanted.id()) && now() < failedAt + this.again),
                this::act);
        rules.add(() -> !inHand && as == null && now() >= dueAt, this::join);
        rules.add(() -> !inHand && as != null && now() >= dueAt, this::report);
    }

    private void tellStandBack() {
        back = shouldStandBack();
        out.standBack(back);
    }

    private void check() {
        checking = toCheck.id();
        out.check(toCheck);
    }

    private void act() {
        moving = wanted.id();
        out.act(wanted);
    }

    private long now() {
        return now;
    }

    private void settle() {
        rules.settle();
    }

    private boolean shouldStandBack() {
        return backWhole && !member;
    }

    private void leaseOver() {
        member = false;
    }

    private void join() {
        inHand = true;
        out.join(server, listen);
    }

    private void report() {
        inHand = true;
        if (answered) {
            number++;
            sentAt = now;
            answered = false;
        }
        MemberActions.Ended queries = out.ended();
        out.report(new Command.Report(
                server,
                as,
                number,
                acting,
                inForce,
                outdated,
                checked,
                cannot,
                queries.ended(),
                queries.bad(),
                gate.needs()));
    }

    /** The delay until the next attempt: exponential in the number of failures, with random jitter. */
    private long backOff(long least) {
        long most = least << Math.min(4, failures);
        return least / 2 + chance.nextLong(Math.max(1, Math.min(most, least * AGAIN_MOST)));
    }

    // ---- inputs

    /** Advances the clock and does what is due by now. */
    public void clock(long now) {
        this.now = Math.max(this.now, now);
        gate.clock(this.now);
        settle();
    }

    /** When {@link #clock} next has something to do, Long.MAX_VALUE for never. */
    public long next() {
        long at = inHand ? Long.MAX_VALUE : dueAt;
        return member ? Math.min(at, leaseUntil) : at;
    }

    /** The fleet answered the last request. */
    public void hear(Answer answer) {
        if (answer instanceof Answer.Joined joined) {
            joined(joined);
        } else if (answer instanceof Answer.Told told) {
            told(told);
        } else if (answer instanceof Answer.Refused refused) {
            refused(refused.why());
        } else {
            throw new IllegalArgumentException("no server asks for what this answers: " + answer);
        }
    }

    private void joined(Answer.Joined joined) {
        gate.floors(joined.places(), joined.floorShare());
        as = joined.as();
        inHand = false;
        failures = 0;
        number = 0;
        answered = true;
        dueAt = now;
        settle();
    }

    /** Ignores answers to any report but the last. */
    private void told(Answer.Told told) {
        if (as == null || told.number() != number || answered) {
            return;
        }
        inHand = false;
        answered = true;
        failures = 0;
        dueAt = now + told.next();
        member = told.lease() > 0 && now < sentAt + told.lease();
        leaseUntil = sentAt + told.lease();
        if (told.lease() > 0) {
            gate.lent(
                    told.shares(),
                    without.contains(Guard.LEASE) ? Long.MAX_VALUE : leaseUntil,
                    without.contains(Guard.LEASE) ? Long.MAX_VALUE : sentAt + told.floorLease(),
                    told.floorsFree() && told.inForce().id().equals(acting));
        }
        if (told.inForce().id().value() == 0 && acting.value() == 0) {
            gate.caps(Caps.NONE); // no revision is in force yet
        }
        wanted = told.inForce();
        toCheck = told.toCheck();
        settle();
    }

    /** The fleet refused the last request. */
    private void refused(Fault why) {
        inHand = false;
        long wait = again;
        if (why instanceof Fault.ShutOut shut) {
            as = null;
            member = false;
            gate.shutOut();
            wait = Math.max(again, shut.backAfter());
        } else if (why instanceof Fault.NotYet notYet) {
            wait = Math.max(again, notYet.backAfter());
        }
        failures++;
        dueAt = now + wait + chance.nextLong(Math.max(1, again));
        settle();
    }

    /** No answer came to the last request; the fleet may have received it or not. */
    public void failed() {
        if (inHand) {
            inHand = false;
            failures++;
            dueAt = now + backOff(again);
            settle();
        }
    }

    /**
     * This server has applied a revision.
     *
     * @param inForce the root of the table that is really in use here
     * @param outdated queries that began under an earlier revision after this one came into force
     */
    public void acting(RevisionId revision, Digest inForce, long outdated) {
        acting = revision;
        this.inForce = inForce;
        this.outdated = outdated;
        moving = RevisionId.NONE;
        dueAt = Math.min(dueAt, now); // the fleet waits for this report
        settle();
    }

    /** A revision could not be applied here; it is tried again after the retry delay. */
    public void cannotAct(RevisionId revision) {
        moving = RevisionId.NONE;
        failed = revision;
        failedAt = now;
        settle();
    }

    /**
     * This server has checked whether it could apply a revision.
     *
     * @param why the reason why it could not, empty if it could
     */
    public void checked(RevisionId revision, String why) {
        checked = revision;
        checking = RevisionId.NONE;
        cannot = why;
        dueAt = Math.min(dueAt, now);
        settle();
    }

    /** Asks for a report within a delay: a tenant came near its limit here, or the fleet has something new to tell. */
    public void stir(long within) {
        dueAt = Math.min(dueAt, now + within);
        settle();
    }

    // ---- queries

    /** Whether the server holds a lease, by its own clock as of the last call of {@link #clock}. */
    public boolean member() {
        return member;
    }

    /** The revision that this server has applied. */
    public RevisionId acting() {
        return acting;
    }

    /** The incarnation that the fleet gave this server, null while it has none. */
    public Incarnation as() {
        return as;
    }

    /** All state that determines later behaviour as text, with times relative to {@code from}; for checks. */
    String describe(long from) {
        return (as == null ? "-" : as.value()) + "," + inHand + "," + (dueAt - from) + "," + answered
                + "," + (answered ? 0 : sentAt - from) + "," + (member ? leaseUntil - from : "-") + "," + failures + ","
                + acting.value()
                + wanted.id().value() + moving.value() + failed.value()
                + toCheck.id().value() + checking.value()
                + checked.value() + back;
    }
}
