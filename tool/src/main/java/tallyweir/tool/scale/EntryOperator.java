package tallyweir.tool.scale;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tallyweir.fleet.Answer;
import tallyweir.fleet.Command;
import tallyweir.fleet.OperatorCommandId;
import tallyweir.fleet.RevisionId;

/** An operator who changes entries by key. */
final class EntryOperator implements OperatorUnderTest {
    private static final int MOST_RAISE = 9;
    private static final int DRAWS_MOST = 100;
    private static final String NAME = "operator";

    private final FleetSize size;
    private final SplittableRandom random;
    private final Map<Integer, Integer> caps = new HashMap<>(); // where they differ from the first revision's
    private int commands;

    EntryOperator(FleetSize size, long seed) {
        this.size = size;
        random = new SplittableRandom(seed);
    }

    private OperatorCommandId next() {
        return new OperatorCommandId("change " + ++commands);
    }

    @Override
    public Command found() {
        return new Command.CreateFleet(ScaleSettings.FLEET, ScaleSettings.fleet(size.servers()));
    }

    @Override
    public Change publishFirst() {
        return new Asked(new Command.Publish(
                next(), RevisionId.NONE, RevisionEntries.first(size), NAME, "the first revision", false));
    }

    @Override
    public Change changeOneCap() {
        int tenant = draw();
        int before = highestCap(tenant);
        int after = before + 1 + random.nextInt(MOST_RAISE);
        caps.put(tenant, after);
        return new Asked(new Command.ChangeEntries(
                next(), List.of(RevisionEntries.capChange(tenant, before, after)), NAME, "a cap is raised", false));
    }

    /** A tenant whose cap has not been changed, if one is soon found. */
    private int draw() {
        int tenant = random.nextInt(size.tenants());
        for (int i = 0; i < DRAWS_MOST && caps.containsKey(tenant); i++) {
            tenant = random.nextInt(size.tenants());
        }
        return tenant;
    }

    @Override
    public int highestCap(int tenant) {
        return caps.getOrDefault(tenant, RevisionEntries.cap(size, tenant));
    }

    private static final class Asked implements Change {
        private final Command command;
        private long revision;

        Asked(Command command) {
            this.command = command;
        }

        @Override
        public Command command() {
            return command;
        }

        @Override
        public Outcome hear(Answer answer) {
            if (answer instanceof Answer.Done done) {
                revision = done.revision().value();
                return Outcome.TAKEN;
            }
            return answer instanceof Answer.Waiting ? Outcome.WAITING : Outcome.REFUSED;
        }

        @Override
        public long revision() {
            return revision;
        }
    }
}
