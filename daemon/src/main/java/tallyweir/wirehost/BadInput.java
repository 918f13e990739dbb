package tallyweir.wirehost;

/** Thrown for a line that is not a valid batch; the message names the field. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(String message) {
        super(message);
    }
}
