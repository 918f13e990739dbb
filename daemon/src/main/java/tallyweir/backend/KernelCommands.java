package tallyweir.backend;

import java.util.ArrayDeque;
import tallyweir.ids.LinkId;
import tallyweir.kernel.Commands;

/**
 * Sends commands to the kernel. Commands wait while they are held, as there is no link that may carry them. Each is
 * sent once; {@link Kernel} decides which of those that may be lost are given again. Runs on the backend's thread.
 */
final class KernelCommands {
    private static final int MAX_WAITING_COMMANDS = 4_000;

    private record WaitingCommand(byte[] bytes, Delivery delivery) {}

    private final Links links;
    private final RateLimitedLog warnings;
    private final CommandDeliveries deliveries = new CommandDeliveries();
    private final ArrayDeque<WaitingCommand> waiting = new ArrayDeque<>();
    private LinkId link; // carries the commands; null while they are held

    KernelCommands(Links links, RateLimitedLog warnings) {
        this.links = links;
        this.warnings = warnings;
    }

    // ---- commands

    /** Starts a run. */
    void run(InFlight inFlight) {
        inFlight.runDelivery = send(Commands.run(inFlight.job, inFlight.workload.value(), inFlight.body));
    }

    /** Stops a run. */
    void stop(InFlight inFlight) {
        inFlight.stopDelivery = send(Commands.stop(inFlight.job));
    }

    /** Gives a blocked run the reply to its call. */
    void reply(InFlight inFlight, byte[] body) {
        inFlight.replyDelivery = send(Commands.reply(inFlight.job, body));
    }

    /** Requests the gauges. Does nothing while commands are held. */
    void requestGauges(String tag) {
        if (link != null) {
            links.sendToPeer(link, Commands.gauges(tag));
            deliveries.requestSent(tag);
        }
    }

    private Delivery send(byte[] command) {
        Delivery delivery = new Delivery();
        if (link != null) {
            write(command, delivery);
        } else if (waiting.size() < MAX_WAITING_COMMANDS) {
            waiting.add(new WaitingCommand(command, delivery));
        } else {
            delivery.markUncertain();
            warnings.warn("no link to the kernel and too many commands are waiting; one was dropped");
        }
        return delivery;
    }

    private void write(byte[] command, Delivery delivery) {
        links.sendToPeer(link, command);
        deliveries.sent(delivery);
    }

    // ---- the link that carries them

    /** Sends the commands that wait, and all later ones, on this link. */
    void sendOn(LinkId carrier) {
        link = carrier;
        while (!waiting.isEmpty()) {
            WaitingCommand next = waiting.remove();
            write(next.bytes, next.delivery);
        }
    }

    /** Holds the commands from now on. */
    void hold() {
        link = null;
    }

    /** The kernel has answered a request for the gauges. */
    void gaugesAnswered(String tag) {
        deliveries.answered(tag);
    }

    /** The link has ended: commands that the kernel is not known to have read are uncertain. */
    void linkEnded() {
        hold();
        deliveries.linkEnded();
    }

    /** Forgets the commands that wait. */
    void discardWaiting() {
        waiting.clear();
    }
}
