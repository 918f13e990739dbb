package tallyweir.durable;

/**
 * One record as it was read and checked.
 *
 * @param stamp its number in the order of writing; {@link Stamp#time} tells when
 * @param expires when it is gone, tenths of a millisecond since 1970, 0 for never
 */
public record Found(byte[] key, byte[] value, long stamp, long expires) {}
