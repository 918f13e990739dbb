package tallyweir.backend;

/** Whether the kernel has read one command that was given to its link. */
final class Delivery {
    private enum State {
        WAITING,
        SENT,
        READ,
        UNCERTAIN
    }

    private State state = State.WAITING;

    /** The command has been written to a link. */
    void markSent() {
        state = State.SENT;
    }

    /** Something that the kernel sent shows that it has read the command. */
    void markRead() {
        state = State.READ;
    }

    /** The command may be lost: its link has ended and nothing has shown that it was read. */
    void markUncertain() {
        if (state != State.READ) {
            state = State.UNCERTAIN;
        }
    }

    /** Whether the command has not been written to any link yet. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Whether the kernel is known to have read the command. */
    boolean isRead() {
        return state == State.READ;
    }

    /** Whether the command may be lost and may as well have been read. */
    boolean isUncertain() {
        return state == State.UNCERTAIN;
    }

    /** Whether there is a command that may be lost; false for null. */
    static boolean isUncertain(Delivery delivery) {
        return delivery != null && delivery.isUncertain();
    }
}
