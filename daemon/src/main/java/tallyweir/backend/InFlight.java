package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import tallyweir.ids.JobId;
import tallyweir.ids.LinkId;
import tallyweir.ids.QueryId;
import tallyweir.ids.WorkloadId;
import tallyweir.results.Mark;

/** One query that was read, from then until it is answered and nothing of it runs. */
final class InFlight {
    final JobId job; // its name on the links, as it came
    final WorkloadId workload;
    final byte[] body; // as it came
    final Answer way;
    QueryId id;
    int slot;
    boolean answered; // by us, or nothing is owed any more
    boolean running; // the kernel has it
    boolean released;
    int sentOn; // the kernel link that its run was asked on
    byte[] call; // the body of the call that its run waits for
    byte[] reply; // the reply to its last call, until the kernel shows that it has it
    int replyOn; // the kernel link that took it,
    long replyAt; // and when
    int stopOn; // the kernel link that took its stop, 0 for none,
    long stopAt; // and when
    final List<LinkId> calledOn = new ArrayList<>(0); // links that carried calls of it
    Deadlines.Deadline due;
    long expected; // when it is late
    InetSocketAddress store; // where it calls, by the revision it was read under; null: as configured
    Repeats.Entry entry; // what its like share
    Mark mark; // by which it is known over restarts; null where none is kept
    boolean recording; // its run is over and its answer waits until that is on the disk

    InFlight(JobId job, WorkloadId workload, byte[] body, Answer way) {
        this.job = job;
        this.workload = workload;
        this.body = body;
        this.way = way;
    }

    /** By which bodies under one mark are told apart. */
    long bodyDigest() {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return crc.getValue() << 32 | Arrays.hashCode(body) & 0xffff_ffffL;
    }
}
