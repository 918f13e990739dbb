package tallyweir.wirehost;

/** A line that cannot be taken as a batch; the text names the field. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(String text) {
        super(text);
    }
}
