package tallyweir.tool.scale;

/** The voters of a simulated fleet: one that leads, and one of those that follow it, which applies the same entries. */
final class SimulatedVoters {
    /** Voters in all. */
    static final int VOTERS = 3;

    private static final int STAMP = 16; // bytes by which an entry is longer than its command
    private static final int ACKNOWLEDGEMENT = 32; // bytes; worked out, as are its messages

    private final EventQueue events;
    private final VoterUnderTest leads;
    private final VoterUnderTest follows;
    private final TrafficMeter ofLeading = new TrafficMeter();
    private final TrafficMeter ofFollowing = new TrafficMeter();
    private long tickAt = Long.MAX_VALUE;

    SimulatedVoters(EventQueue events, VoterUnderTest leads, VoterUnderTest follows) {
        this.events = events;
        this.leads = leads;
        this.follows = follows;
    }

    /** A command arrives: it becomes an entry of the log, and its answer goes out. */
    byte[] command(byte[] command) {
        long now = events.now();
        ofLeading.message(now, command.length);
        byte[] answer = entry(command);
        ofLeading.message(now, answer.length);
        return answer;
    }

    private byte[] entry(byte[] command) {
        long now = events.now();
        long entryBytes = command.length + STAMP;
        for (int follower = 1; follower < VOTERS; follower++) {
            ofLeading.message(now, entryBytes);
            ofLeading.message(now, ACKNOWLEDGEMENT);
        }
        ofFollowing.message(now, entryBytes);
        ofFollowing.message(now, ACKNOWLEDGEMENT);
        byte[] answer = worked(ofLeading, leads, command);
        worked(ofFollowing, follows, command);
        tickWhenDue();
        return answer;
    }

    private byte[] worked(TrafficMeter meter, VoterUnderTest voter, byte[] command) {
        long began = System.nanoTime();
        byte[] answer = voter.apply(events.now(), command);
        meter.worked(events.now(), System.nanoTime() - began);
        return answer;
    }

    private void tickWhenDue() {
        long due = leads.nextDue();
        if (due < tickAt) {
            tickAt = Math.max(due, events.now() + 1);
            events.at(tickAt, this::tick);
        }
    }

    private void tick() {
        if (events.now() < tickAt) {
            return;
        }
        tickAt = Long.MAX_VALUE;
        if (leads.nextDue() <= events.now()) {
            entry(leads.tick());
        } else {
            tickWhenDue();
        }
    }

    /** A question arrives, and its answer goes out. */
    byte[] question(byte[] question) {
        long now = events.now();
        ofLeading.message(now, question.length);
        long began = System.nanoTime();
        byte[] answer = leads.read(question);
        ofLeading.worked(now, System.nanoTime() - began);
        ofLeading.message(now, answer.length);
        return answer;
    }

    VoterUnderTest leads() {
        return leads;
    }

    TrafficMeter ofLeading() {
        return ofLeading;
    }

    TrafficMeter ofFollowing() {
        return ofFollowing;
    }
}
