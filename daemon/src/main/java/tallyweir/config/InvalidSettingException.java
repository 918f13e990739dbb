package tallyweir.config;

/** Thrown for an invalid setting; the message names its key. */
public final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingException(String message) {
        super(message);
    }
}
