package tallyweir.tool.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetClient;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.RevisionRoot;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.ratis.EncodedMessages;
import tallyweir.fleet.table.Table;

/** A server's client over simulated ways, which encodes and counts all that it sends. */
final class SimulatedClient implements FleetClient {
    private static final String VOTERS = "the simulated voters";

    private final EventQueue events;
    private final EncodedMessages messages;
    private final SimulatedVoters voters;
    private final SimulatedNetwork network;
    private final TrafficMeter meter;
    private final ServerSlot slot;

    SimulatedClient(
            EventQueue events,
            EncodedMessages messages,
            SimulatedVoters voters,
            SimulatedNetwork network,
            TrafficMeter meter,
            ServerSlot slot) {
        this.events = events;
        this.messages = messages;
        this.voters = voters;
        this.network = network;
        this.meter = meter;
        this.slot = slot;
    }

    @Override
    public void send(Command command, Executor deciding, Consumer<Answer> to, Runnable failed) {
        byte[] bytes = messages.encode(command);
        count(bytes);
        long sent = events.now();
        events.after(network.latency(slot.number()), () -> {
            if (slot.reached()) {
                answer(voters.command(bytes), sent, deciding, to, failed);
            } else {
                giveUp(sent, deciding, failed);
            }
        });
    }

    private void answer(byte[] answer, long sent, Executor deciding, Consumer<Answer> to, Runnable failed) {
        events.after(network.latency(slot.number()), () -> {
            if (slot.reached()) {
                count(answer);
                deciding.execute(() -> to.accept(decode(answer)));
            } else {
                giveUp(sent, deciding, failed);
            }
        });
    }

    private Answer decode(byte[] answer) {
        try {
            return messages.decodeAnswer(answer);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void count(byte[] message) {
        meter.messages(events.now(), 1, message.length);
        network.note(events.now(), slot.number(), message);
    }

    private void giveUp(long sent, Executor deciding, Runnable failed) {
        events.at(sent + SimulatedNetwork.GIVE_UP, () -> deciding.execute(failed));
    }

    /** One round trip, after which all messages of the fetch are exchanged at once. */
    @Override
    public void fetch(Table have, RevisionRoot wanted, Executor deciding, Consumer<Table> to, Consumer<Fault> failed) {
        long sent = events.now();
        long roundTrip = network.latency(slot.number()) + network.latency(slot.number());
        events.after(roundTrip, () -> {
            if (slot.reached()) {
                fetched(voters.fetch(have, wanted, network.anyVoter()), deciding, to, failed);
            } else {
                Fault fault = new Fault.NoLeader(VOTERS, SimulatedNetwork.GIVE_UP);
                giveUp(sent, deciding, () -> failed.accept(fault));
            }
        });
    }

    private void fetched(
            SimulatedFetches.Fetched fetched, Executor deciding, Consumer<Table> to, Consumer<Fault> failed) {
        meter.messages(events.now(), fetched.messages(), fetched.bytes());
        meter.worked(events.now(), fetched.serverNanoseconds());
        network.note(events.now(), slot.number(), fetched.messages(), fetched.bytes());
        fetched.table().ifPresent(table -> deciding.execute(() -> to.accept(table)));
        fetched.fault().ifPresent(fault -> giveUp(events.now(), deciding, () -> failed.accept(fault)));
    }

    @Override
    public void leave(ServerId server, Incarnation as) {
        voters.command(messages.encode(new Command.Leave(server, as)));
    }

    @Override
    public void close() {
        // holds nothing
    }
}
