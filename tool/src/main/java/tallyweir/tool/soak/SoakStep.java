package tallyweir.tool.soak;

import tallyweir.stand.FailingCalls.Call;

/**
 * One thing that is done to one backend.
 *
 * @param afterMs how long after the step before it, or after the beginning
 * @param kind what is done
 * @param call which system call fails, null where none is to
 * @param oneIn one call in so many fails
 * @param amount milliseconds of a pause, a hold or a step of the clock; into a notice, when the call begins to fail
 */
record SoakStep(int afterMs, Kind kind, Call call, int oneIn, int amount) {
    /** What may be done to a backend. */
    enum Kind {
        /** A system call fails now and then, until the next step of this kind. */
        FAILING_CALL,
        /** SIGTERM; a system call begins to fail some time into it; SIGKILL at the earliest stop; a cold start. */
        STOP,
        /** SIGKILL without notice, and a cold start. */
        KILL,
        /** SIGSTOP, and SIGCONT a while later. */
        PAUSE,
        /** SIGHUP with another address of the kernel. */
        RELOAD,
        /** The kernel's link is reset. */
        KERNEL_BREAK,
        /** Nothing passes on the kernel's link for a while. */
        KERNEL_HOLD,
        /** The wall clock of the process is set. */
        WALL_STEP,
        /** The folder of the results refuses writes and syncs for a while. */
        FOLDER_REFUSES
    }

    @Override
    public String toString() {
        String failing = call == null ? "" : " " + call + " one in " + oneIn;
        return "+" + afterMs + " ms " + kind + failing + (amount == 0 ? "" : " " + amount + " ms");
    }
}
