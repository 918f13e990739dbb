package tallyweir.config;

/** Thrown for an invalid setting; the message names its key. */
public final class BadSetting extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadSetting(String message) {
        super(message);
    }
}
