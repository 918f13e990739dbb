package tallyweir.wirehost;

/** Thrown for a line that is not a valid batch; the message names the field. */
final class InvalidBatchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidBatchException(String message) {
        super(message);
    }
}
