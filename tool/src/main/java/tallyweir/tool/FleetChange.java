package tallyweir.tool;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import tallyweir.config.InvalidSettingException;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.Fault;
import tallyweir.fleet.FleetException;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.RatisFleetClient;

/** A change that an operator asks for: sends its command until it has been taken or turned down, then follows the revision. */
abstract class FleetChange implements Callable<Integer> {
    private static final int ASK_AGAIN_MS = 100;
    private static final int NOT_IN_TIME = 1;

    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetOptions fleet;

    @Mixin
    private FleetChangeOptions change;

    /** The command that is to be sent, as often as it takes. */
    abstract Command command(RatisFleetClient client, FleetChangeOptions options) throws IOException;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try (RatisFleetClient client = fleet.open()) {
            long until = change.followUntil();
            Command command = command(client, change);
            RevisionId revision = send(client, command, until);
            if (revision == null) {
                return NOT_IN_TIME;
            }
            return new RevisionFollower(client, out(), until).follow(revision);
        } catch (InvalidSettingException e) {
            return FleetOptions.print(spec, new Fault.BodyFaulty(e.getMessage()));
        } catch (FleetException e) {
            return FleetOptions.print(spec, e.fault());
        }
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** The revision that the command has become a part of, null where that takes too long. */
    private RevisionId send(RatisFleetClient client, Command command, long until) throws InterruptedException {
        boolean toldToWait = false;
        while (true) {
            Answer answer = client.request(command);
            long waitMs;
            if (answer instanceof Answer.Done done) {
                return done.revision();
            } else if (answer instanceof Answer.Waiting waiting) {
                waitMs = ASK_AGAIN_MS;
                if (!toldToWait) {
                    out().println("waits for the revision that is open, " + waiting.ahead() + " changes before it");
                    toldToWait = true;
                }
            } else if (answer instanceof Answer.Refused refused) {
                waitMs = againAfter(refused.fault(), until);
            } else {
                throw new IllegalStateException("no answer to a change: " + answer);
            }
            if (System.nanoTime() > until) {
                return null;
            }
            TimeUnit.MILLISECONDS.sleep(waitMs);
        }
    }

    /** Only a queue that is full is worth another try. */
    private static long againAfter(Fault why, long until) {
        if (why instanceof Fault.QueueFull full && System.nanoTime() + full.retryAfterMs() * 1_000_000L < until) {
            return full.retryAfterMs();
        }
        throw why.toException();
    }
}
