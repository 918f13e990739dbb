package tallyweir.fleet.ratis;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import tallyweir.fleet.Answers;
import tallyweir.fleet.Digest;
import tallyweir.fleet.Incarnation;
import tallyweir.fleet.Need;
import tallyweir.fleet.RevisionId;
import tallyweir.fleet.Seating;
import tallyweir.fleet.ServerId;
import tallyweir.fleet.Way;
import tallyweir.ids.TenantId;

/** A server's way to its fleet by Ratis, and the log where it is a voter. */
public final class RatisSeating implements Seating {
    private static final int TRIES_IN_LEASE = 5;

    @Override
    public Way open(
            String fleet,
            Map<String, String> voters,
            String self,
            String dir,
            long version,
            long lease,
            long tail,
            long floorLease,
            long behindMost,
            double drift,
            double mostOut,
            double mostCannot,
            int serversMost,
            double floorShare,
            long probation,
            double worseRatio,
            double sickShare) {
        Voter voter = null;
        if (voters.containsKey(self)) {
            try {
                voter = Voter.start(
                        fleet,
                        voters,
                        self,
                        Path.of(dir),
                        new Voter.Founding(
                                version,
                                lease,
                                tail,
                                floorLease,
                                behindMost,
                                drift,
                                mostOut,
                                mostCannot,
                                serversMost,
                                floorShare,
                                probation,
                                worseRatio,
                                sickShare),
                        () -> System.nanoTime() / 100_000,
                        System::currentTimeMillis);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return new Seated(new Link(fleet, voters, lease / 10 / TRIES_IN_LEASE), voter);
    }

    /** The link of a server, and its part of the log. */
    private record Seated(Link link, Voter voter) implements Way {
        @Override
        public void join(ServerId server, String listen, long life, Executor deciding, Answers to, Runnable failed) {
            link.join(server, listen, life, deciding, to, failed);
        }

        @Override
        public void report(
                ServerId server,
                Incarnation as,
                long number,
                RevisionId acting,
                Digest inForce,
                long outdated,
                RevisionId checked,
                String cannot,
                long ended,
                long bad,
                Map<TenantId, Need> needs,
                Executor deciding,
                Answers to,
                Runnable failed) {
            link.report(
                    server, as, number, acting, inForce, outdated, checked, cannot, ended, bad, needs, deciding, to,
                    failed);
        }

        @Override
        public void leave(ServerId server, Incarnation as) {
            link.leave(server, as);
        }

        @Override
        public void body(RevisionId revision, Executor deciding, Consumer<byte[]> to) {
            link.body(revision, deciding, to);
        }

        @Override
        public void close() {
            link.close();
            if (voter != null) {
                try {
                    voter.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }
}
