package tallyweir.ids;

/** One opening of a connection to the kernel or the store; a number is never used again. */
public record LinkId(long value) {}
