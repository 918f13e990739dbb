package tallyweir.tool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import tallyweir.stand.FailingCalls.Call;
import tallyweir.stand.FailingCalls.Errno;

/** What is done to one backend in which order, drawn from a seed alone. */
final class SoakPlan {
    private static final int WAIT_LEAST_MS = 150;
    private static final int WAIT_MOST_MS = 700;
    private static final int PAUSE_MOST_MS = 400;
    private static final int HOLD_MOST_MS = 600;
    private static final int WALL_STEP_MOST_MS = 3_600_000;
    private static final int RESTART_MS = 2_500; // about what a cold start takes
    private static final List<Call> CALLS = List.of(
            Call.ACCEPT, Call.EPOLL_WAIT, Call.EPOLL_CTL, Call.READ, Call.WRITE, Call.SOCKET, Call.CONNECT, Call.CLOSE);
    private static final int[] ONE_IN = {3, 20, 100, 300};

    private final List<SoakStep> steps = new ArrayList<>();

    private SoakPlan() {}

    /** @param stopMs how long a notice is */
    static SoakPlan of(long seed, int seconds, int stopMs) {
        SplittableRandom chance = new SplittableRandom(seed);
        SoakPlan plan = new SoakPlan();
        long left = seconds * 1_000L - stopMs - RESTART_MS;
        while (left > 0) {
            SoakStep step = draw(chance, stopMs);
            plan.steps.add(step);
            left -= step.afterMs() + length(step, stopMs);
        }
        plan.steps.add(stop(chance, stopMs)); // none is without a drain
        return plan;
    }

    private static int length(SoakStep step, int stopMs) {
        return switch (step.kind()) {
            case STOP -> stopMs + RESTART_MS;
            case KILL -> RESTART_MS;
            case PAUSE, KERNEL_HOLD, FOLDER_REFUSES -> step.amount();
            default -> 0;
        };
    }

    private static int wait(SplittableRandom chance) {
        return chance.nextInt(WAIT_LEAST_MS, WAIT_MOST_MS);
    }

    private static SoakStep draw(SplittableRandom chance, int stopMs) {
        int drawn = chance.nextInt(100);
        if (drawn < 40) {
            return new SoakStep(wait(chance), SoakStep.Kind.FAILING_CALL, call(chance), oneIn(chance), 0);
        } else if (drawn < 58) {
            return stop(chance, stopMs);
        } else if (drawn < 63) {
            return plain(chance, SoakStep.Kind.KILL, 0);
        } else if (drawn < 70) {
            return plain(chance, SoakStep.Kind.PAUSE, chance.nextInt(50, PAUSE_MOST_MS));
        } else if (drawn < 78) {
            return plain(chance, SoakStep.Kind.RELOAD, 0);
        } else if (drawn < 88) {
            return plain(chance, SoakStep.Kind.KERNEL_BREAK, 0);
        } else if (drawn < 92) {
            return plain(chance, SoakStep.Kind.KERNEL_HOLD, chance.nextInt(50, HOLD_MOST_MS));
        } else if (drawn < 97) {
            return plain(chance, SoakStep.Kind.FOLDER_REFUSES, chance.nextInt(50, HOLD_MOST_MS));
        }
        return plain(chance, SoakStep.Kind.WALL_STEP, chance.nextInt(-WALL_STEP_MOST_MS, WALL_STEP_MOST_MS));
    }

    private static SoakStep plain(SplittableRandom chance, SoakStep.Kind kind, int amount) {
        return new SoakStep(wait(chance), kind, null, 0, amount);
    }

    private static SoakStep stop(SplittableRandom chance, int stopMs) {
        return new SoakStep(wait(chance), SoakStep.Kind.STOP, call(chance), oneIn(chance), chance.nextInt(stopMs));
    }

    private static Call call(SplittableRandom chance) {
        return CALLS.get(chance.nextInt(CALLS.size()));
    }

    private static int oneIn(SplittableRandom chance) {
        return ONE_IN[chance.nextInt(ONE_IN.length)];
    }

    /** The ways in which Linux documents that a call may fail for no lasting reason. */
    static Errno[] ways(Call call) {
        return switch (call) {
            case ACCEPT ->
                new Errno[] {
                    Errno.ECONNABORTED,
                    Errno.EINTR,
                    Errno.ENFILE,
                    Errno.EMFILE,
                    Errno.ENOBUFS,
                    Errno.ENOMEM,
                    Errno.EPROTO
                };
            case SOCKET -> new Errno[] {Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM};
            case CONNECT -> new Errno[] {Errno.EADDRNOTAVAIL, Errno.ECONNREFUSED, Errno.ENETUNREACH, Errno.EINTR};
            case READ, WRITE -> new Errno[] {Errno.EINTR, Errno.EAGAIN, Errno.ENOMEM, Errno.ENOBUFS};
            case EPOLL_WAIT -> new Errno[] {Errno.EINTR};
            case EPOLL_CTL -> new Errno[] {Errno.ENOMEM, Errno.ENOSPC};
            case CLOSE -> new Errno[] {Errno.EINTR, Errno.EIO};
            default -> new Errno[] {Errno.ENOSPC, Errno.EIO};
        };
    }

    List<SoakStep> steps() {
        return List.copyOf(steps);
    }
}
