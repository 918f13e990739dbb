package tallyweir.durable;

/**
 * A record that was read and whose checksum was verified.
 *
 * @param stamp its number in the order of writing; {@link Stamp#time} returns the time
 * @param expiresAt when it expires, in tenths of a millisecond since 1970, 0 for never
 */
public record StoredRecord(byte[] key, byte[] value, long stamp, long expiresAt) {}
