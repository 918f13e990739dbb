package tallyweir.tool.scale;

import tallyweir.fleet.Command;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.fleet.table.Table;

/** The voters of a simulated fleet: one that leads, and one of those that follow it, which applies the same entries. */
final class SimulatedVoters {
    /** Voters in all. */
    static final int VOTERS = 3;

    private static final int STAMP = 16; // bytes by which an entry is longer than its command
    private static final int ACKNOWLEDGEMENT = 32; // bytes; worked out, as are its messages

    private final EventQueue events;
    private final EncodedMessages messages;
    private final VoterUnderTest leads;
    private final VoterUnderTest follows;
    private final SimulatedFetches fetches;
    private final TrafficMeter ofLeading = new TrafficMeter();
    private final TrafficMeter ofFollowing = new TrafficMeter();
    private final TrafficMeter ofOthers = new TrafficMeter();
    private long tickAt = Long.MAX_VALUE;

    SimulatedVoters(EventQueue events, EncodedMessages messages, VoterUnderTest leads, VoterUnderTest follows) {
        this.events = events;
        this.messages = messages;
        this.leads = leads;
        this.follows = follows;
        fetches = new SimulatedFetches(messages, leads);
    }

    /** A command arrives: it becomes an entry of the log, and its answer goes out. */
    byte[] command(byte[] command) {
        long now = events.now();
        ofLeading.messages(now, 1, command.length);
        byte[] answer = entry(command);
        ofLeading.messages(now, 1, answer.length);
        return answer;
    }

    private byte[] entry(byte[] command) {
        long now = events.now();
        long entryBytes = command.length + STAMP;
        for (int follower = 1; follower < VOTERS; follower++) {
            ofLeading.messages(now, 2, entryBytes + ACKNOWLEDGEMENT);
        }
        ofFollowing.messages(now, 2, entryBytes + ACKNOWLEDGEMENT);
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
            entry(messages.encode(new Command.Tick()));
        } else {
            tickWhenDue();
        }
    }

    /** A server fetches a table from one of the voters. */
    SimulatedFetches.Fetched fetch(Table have, RevisionRoot wanted, int fromVoter) {
        SimulatedFetches.Fetched fetched = fetches.fetch(have, wanted);
        TrafficMeter meter = fromVoter == 0 ? ofLeading : fromVoter == 1 ? ofFollowing : ofOthers;
        meter.messages(events.now(), fetched.messages(), fetched.bytes());
        meter.worked(events.now(), fetched.voterNanoseconds());
        return fetched;
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
