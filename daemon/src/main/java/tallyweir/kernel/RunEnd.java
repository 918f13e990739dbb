package tallyweir.kernel;

/** How a run has ended, by the kernel's word. */
public enum RunEnd {
    /** With a result. */
    GOOD,
    /** Without a result. */
    BAD,
    /** Stopped, or ended at a call because its request was over. */
    CUT,
    /** Not started at all, because its request was over. */
    GONE;

    /** The end that the kernel's word stands for; an unknown word counts as {@link #BAD}. */
    static RunEnd of(String word) {
        return switch (word) {
            case "good" -> GOOD;
            case "cut" -> CUT;
            case "gone" -> GONE;
            default -> BAD;
        };
    }
}
