package tallyweir.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import tallyweir.Effect;
import tallyweir.ids.JobId;
import tallyweir.ids.LinkId;
import tallyweir.ids.QueryId;
import tallyweir.ids.WorkloadId;
import tallyweir.results.IdempotencyKey;

/** One query from when it is read until it is answered and no run of it is left. Times are in tenths of a millisecond. */
final class InFlight {
    final JobId job; // its id on the links, as the caller sent it
    final WorkloadId workload;
    final Effect effect;
    final byte[] body; // as the caller sent it
    final QueryResponder responder;
    QueryId id;
    boolean knownByIdOnly; // its result is not kept, so that only its id tells that it has run
    boolean answered; // answered here, or its caller has disconnected
    boolean running; // handed to the kernel, or waiting for its intent to be written first
    boolean released;
    Delivery runDelivery; // of the last command that started its run, null for none
    boolean endMayBeMissed; // notices were missed while it ran, so that its end may be among them
    byte[] pendingCall; // body of the call to the store that its run is blocked on
    Delivery replyDelivery; // of the reply to its last call, null once the run has made another call
    Delivery stopDelivery; // of the command that stops its run, null for none
    final List<LinkId> callLinks = new ArrayList<>(0); // store links that have carried its calls
    Deadlines.Deadline deadline;
    long expectedDeadline; // end of its expected time; counted as late after that. Set only in a fleet
    InetSocketAddress
            storeAddress; // where it calls, by the revision it was read under; null for the configured address
    Repeats.Entry repeatEntry; // shared by all queries with the same key; null for none
    IdempotencyKey resultKey; // key of its retained result; null if none is retained
    boolean recordingResult; // its run has ended and its answer waits until the result is on the disk

    InFlight(JobId job, WorkloadId workload, Effect effect, byte[] body, QueryResponder responder) {
        this.job = job;
        this.workload = workload;
        this.effect = effect;
        this.body = body;
        this.responder = responder;
    }

    boolean isHarmless() {
        return effect == Effect.HARMLESS;
    }

    /** Digest by which two bodies under the same key are told apart. */
    long bodyDigest() {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return crc.getValue() << 32 | Arrays.hashCode(body) & 0xffff_ffffL;
    }
}
