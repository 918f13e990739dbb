package tallyweir.tool.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import tallyweir.config.Routing;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Body;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Fault;
import tallyweir.fleet.OperatorCommand;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.EncodedMessages;

/** An operator who publishes whole texts, as the present command line does. */
final class TextOperator implements OperatorUnderTest, Answers {
    private static final int MOST_RAISE = 9;

    private final FleetSize size;
    private final SplittableRandom random;
    private final Map<Integer, Integer> raised = new HashMap<>();
    private int commands;
    private int tenant;
    private int raise;
    private RevisionId expected = RevisionId.NONE;
    private RevisionId done = RevisionId.NONE;
    private Outcome outcome;

    TextOperator(FleetSize size, long seed) {
        this.size = size;
        random = new SplittableRandom(seed);
    }

    @Override
    public byte[] found() {
        return EncodedMessages.found(ScaleSettings.FLEET, ScaleSettings.founding(size.servers()));
    }

    @Override
    public byte[] publishFirst() {
        return publish();
    }

    @Override
    public byte[] changeOneCap() {
        tenant = random.nextInt(size.tenants());
        raise = 1 + random.nextInt(MOST_RAISE);
        raised.merge(tenant, raise, Math::max);
        return publish();
    }

    @Override
    public byte[] again() {
        return publish();
    }

    private byte[] publish() {
        byte[] text = RevisionText.write(size, tenant, raise);
        Routing routing = Routing.parse(text);
        Body body = new Body(text, routing.caps, routing.digests());
        OperatorCommand command = new OperatorCommand("change " + ++commands);
        return EncodedMessages.publish(command, expected, Digest.of(text), body, "operator", "a cap is changed", false);
    }

    @Override
    public Outcome outcome(byte[] answer) {
        EncodedMessages.answer(answer, this);
        return outcome;
    }

    @Override
    public long revision() {
        return done.value();
    }

    @Override
    public int highestCap(int of) {
        return RevisionText.cap(size, of) + raised.getOrDefault(of, 0);
    }

    @Override
    public void done(RevisionId revision) {
        outcome = Outcome.TAKEN;
        done = revision;
        expected = revision;
    }

    @Override
    public void refused(Fault why) {
        outcome = Outcome.REFUSED;
        if (why instanceof Fault.LostRace race) {
            outcome = Outcome.LOST;
            expected = new RevisionId(race.found());
        }
    }
}
