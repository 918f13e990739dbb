package tallyweir.fleet;

import java.util.Set;
import java.util.SplittableRandom;
import tallyweir.rules.Rules;

/**
 * A server's own side of the fleet: what it may do at this moment, by what it was told and its own clock. Nothing here
 * waits: a server that hears nothing goes on under the revision it has, and what it was lent ends by its own clock
 * before the fleet lends it to another.
 */
public final class Member {
    private static final int AGAIN_MOST = 16; // doublings of the wait are bounded: no fleet is left alone for long

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
    private boolean inHand; // asked, and no answer yet
    private long dueAt; // of the next report or join
    private long number;
    private long sentAt; // the report of that number, when it went first
    private boolean answered = true; // that report
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
     * @param gate the counts of tenants' connections, which this tells what the server may accept
     * @param again how long it waits at the least before it asks again what was not answered
     * @param backWhole whether a server that is out stands back whole, or goes on but for what it was lent
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
        // What is over comes first, then what is to be found out or done here, then what is to be said.
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

    /** So long until the next try; longer each time, never the same as others'. */
    private long backOff(long least) {
        long most = least << Math.min(4, failures);
        return least / 2 + chance.nextLong(Math.max(1, Math.min(most, least * AGAIN_MOST)));
    }

    // ---- inputs

    public void clock(long now) {
        this.now = Math.max(this.now, now);
        gate.clock(this.now);
        settle();
    }

    /** When clock has something to do. */
    public long next() {
        long at = inHand ? Long.MAX_VALUE : dueAt;
        return member ? Math.min(at, leaseUntil) : at;
    }

    /** The fleet answered what was asked last. */
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

    /** To an earlier report than the last nothing counts. */
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
            gate.caps(Caps.NONE); // there is no revision yet
        }
        wanted = told.inForce();
        toCheck = told.toCheck();
        settle();
    }

    /** The fleet turned down what was asked last. */
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

    /** No answer came to what was asked last; it may have been heard or not. */
    public void failed() {
        if (inHand) {
            inHand = false;
            failures++;
            dueAt = now + backOff(again);
            settle();
        }
    }

    /** A revision is in force here, as the parts in use show. */
    public void acting(RevisionId revision, Digest inForce, long outdated) {
        acting = revision;
        this.inForce = inForce;
        this.outdated = outdated;
        moving = RevisionId.NONE;
        dueAt = Math.min(dueAt, now); // the fleet waits to hear of it
        settle();
    }

    /** A revision could not be brought into force here; it is tried again. */
    public void cannotAct(RevisionId revision) {
        moving = RevisionId.NONE;
        failed = revision;
        failedAt = now;
        settle();
    }

    /** Whether this server could act on a revision: why not, empty if it could. */
    public void checked(RevisionId revision, String why) {
        checked = revision;
        checking = RevisionId.NONE;
        cannot = why;
        dueAt = Math.min(dueAt, now);
        settle();
    }

    /** Something is to be said soon: a tenant came near what this server may accept, or news wait at the fleet. */
    public void stir(long within) {
        dueAt = Math.min(dueAt, now + within);
        settle();
    }

    // ---- what can be seen

    public boolean member() {
        return member;
    }

    public RevisionId acting() {
        return acting;
    }

    public Incarnation as() {
        return as;
    }

    /** All that its future hangs on, times from this one on. */
    String describe(long from) {
        return (as == null ? "-" : as.value()) + "," + inHand + "," + (dueAt - from) + "," + answered
                + "," + (answered ? 0 : sentAt - from) + "," + (member ? leaseUntil - from : "-") + "," + failures + ","
                + acting.value()
                + wanted.id().value() + moving.value() + failed.value()
                + toCheck.id().value() + checking.value()
                + checked.value() + back;
    }
}
