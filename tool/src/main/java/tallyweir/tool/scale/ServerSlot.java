package tallyweir.tool.scale;

/** One server's place in a simulation, with the process that runs there now. */
final class ServerSlot {
    private final int number;
    private ServerUnderTest process; // null while it is down
    private long life;
    private boolean reached = true;
    private long wakeAt = Long.MAX_VALUE;
    private long acting;
    private boolean stoodBack = true;
    private boolean disturbed; // cut off since it came to the revision that it acts on

    ServerSlot(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** The process, null while there is none. */
    ServerUnderTest process() {
        return process;
    }

    /** The number of the process that runs here, or ran here last. */
    long life() {
        return life;
    }

    /** The number that the next process is to have. */
    long nextLife() {
        return life + 1;
    }

    /** Another process has started here. */
    void started(ServerUnderTest started) {
        process = started;
        life++;
        wakeAt = Long.MAX_VALUE;
        acting = 0;
        stoodBack = true;
    }

    /** The process has ended. */
    void ended() {
        if (process != null) {
            process.close();
        }
        process = null;
        acting = 0;
    }

    /** Whether the process with this number still runs. */
    boolean runs(long ofLife) {
        return process != null && life == ofLife;
    }

    /** Whether it can be reached by the voter that leads. */
    boolean reached() {
        return reached;
    }

    void reached(boolean is) {
        reached = is;
        disturbed |= !is;
    }

    /** Whether it was cut off since it came to the revision that it acts on; asked once after it came to another. */
    boolean wasDisturbed() {
        boolean was = disturbed;
        disturbed = !reached;
        return was;
    }

    /** Whether it runs and can be reached. */
    boolean counts() {
        return process != null && reached;
    }

    /** When it is to be woken next. */
    long wakeAt() {
        return wakeAt;
    }

    void wakeAt(long at) {
        wakeAt = at;
    }

    /** The revision that it acted on when it was looked at last. */
    long acting() {
        return acting;
    }

    /** Whether it acts on another revision than when this was asked last. */
    boolean actsAnew() {
        long is = process.acting();
        boolean changed = is != acting;
        acting = is;
        return changed;
    }

    /** Whether it stands back and did not when this was asked last. */
    boolean standsBackAnew() {
        boolean is = process.standsBack();
        boolean changed = is && !stoodBack;
        stoodBack = is;
        return changed;
    }

    /** Whether it acts on a revision at least as new as this one and takes queries. */
    boolean serves(long revision) {
        return process != null && !process.standsBack() && process.acting() >= revision;
    }
}
