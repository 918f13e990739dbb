package tallyweir.tool.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import tallyweir.fleet.Revision;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.ratis.LocalReplica;

/** A voter on the real state and codec, without Ratis and without a disk. */
final class ReplicaVoter implements VoterUnderTest {
    private static final long WALL = 1_700_000_000_000L; // any: the state only keeps it
    private static final long TICKS_PER_MILLISECOND = 10;

    private final LocalReplica replica = new LocalReplica();

    @Override
    public byte[] apply(long now, byte[] command) {
        try {
            return replica.apply(now, WALL + now / TICKS_PER_MILLISECOND, command);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public byte[] read(byte[] question) throws IOException {
        return replica.read(question);
    }

    @Override
    public long nextDue() {
        return replica.state().nextDeadline();
    }

    @Override
    public long inForce() {
        return replica.state().inForce().value();
    }

    @Override
    public boolean turnedDown(long revision) {
        return replica.state().revision(new RevisionId(revision)).fate() == Revision.Fate.TURNED_DOWN;
    }

    @Override
    public int shutOut() {
        return replica.state().out();
    }
}
