package tallyweir.tool.scale;

import java.io.PrintWriter;

/** How far a long run has come, on a terminal alone. */
final class Progress {
    private static final long EVERY_NANOSECONDS = 200_000_000L;

    private final PrintWriter terminal; // null where there is none
    private long shown;

    private Progress(PrintWriter terminal) {
        this.terminal = terminal;
    }

    /** Shown where the program has a console, else nowhere. */
    static Progress onConsole() {
        return new Progress(System.console() == null ? null : new PrintWriter(System.err, true));
    }

    /** Shown nowhere. */
    static Progress none() {
        return new Progress(null);
    }

    /** Says what is done at the moment, and which share of it is done. */
    void show(String doing, double share) {
        if (terminal != null && System.nanoTime() - shown > EVERY_NANOSECONDS) {
            shown = System.nanoTime();
            terminal.printf("\r%s %3.0f%%  ", doing, 100 * share);
            terminal.flush();
        }
    }

    /** Ends the line. */
    void end() {
        if (terminal != null) {
            terminal.println();
        }
    }
}
