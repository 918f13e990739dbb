package tallyweir.config;

/** A setting that cannot be taken; the text names its key. */
public final class BadSetting extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadSetting(String text) {
        super(text);
    }
}
