package tallyweir.tool.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tallyweir.stand.History;
import tallyweir.stand.RequestLog;
import tallyweir.stand.RequestOutcome;

/** Holds the rules by what callers and the kernel saw; knows nothing of how the program works. */
final class SoakJudge {
    private static final int SLACK_MS = 50; // by the protocol

    private final RequestLog log;
    private final History kernel;
    private final BackendLife life;
    private final int graceMs;

    SoakJudge(RequestLog log, History kernel, BackendLife life, int graceMs) {
        this.log = log;
        this.kernel = kernel;
        this.life = life;
        this.graceMs = graceMs;
    }

    SoakVerdict verdict(long failedCalls, long otherFaults) {
        List<RequestOutcome> all = log.allOutcomes();
        Map<String, Integer> runs = kernel.runsByJob();
        return new SoakVerdict(
                all.size(),
                all.stream().filter(SoakJudge::isAnswered).count(),
                life.kills(),
                life.drains(),
                failedCalls,
                otherFaults,
                all.stream().filter(this::isLost).toList(),
                log.countAnsweredTwice()
                        + runs.values().stream().filter(n -> n > 1).count(),
                all.stream().filter(this::isLate).toList(),
                all.stream().filter(fate -> ranAfterGrace(fate, runs)).count());
    }

    private static boolean isAnswered(RequestOutcome fate) {
        return fate.end() == RequestOutcome.End.ANSWERED || fate.end() == RequestOutcome.End.ANSWERED_LATE;
    }

    /** A kill without notice frees what was with the backend; the end at a kill after one is no end of a connection at rest. */
    private boolean isLost(RequestOutcome fate) {
        if (isAnswered(fate)) {
            return false;
        }
        if (life.wasKilledWithoutNotice(fate.connectedAt(), fate.endedAt())) {
            return false;
        }
        return fate.isLost() || life.wasKilledAfterNotice(fate.writtenAt(), fate.endedAt());
    }

    private boolean isLate(RequestOutcome fate) {
        return fate.end() == RequestOutcome.End.ANSWERED_LATE && !life.stoodDuring(fate.writtenAt(), fate.endedAt());
    }

    private boolean ranAfterGrace(RequestOutcome fate, Map<String, Integer> runs) {
        long notice = life.noticeAt(fate.writtenAt());
        return notice != 0
                && runs.containsKey(fate.id())
                && fate.writtenAt() - notice > TimeUnit.MILLISECONDS.toNanos(graceMs + SLACK_MS)
                && !life.stoodDuring(notice, fate.writtenAt());
    }
}
