package tallyweir.fleet;

import java.util.Map;
import tallyweir.ids.TenantId;

/**
 * What a revision says.
 *
 * @param bytes its text as it came, perhaps compressed; nothing here reads it
 * @param caps of the tenants that have one
 * @param digests what is in force at a server that acts on it: under its own name where the text names it, else under ""
 */
public record Body(byte[] bytes, Map<TenantId, Integer> caps, Map<String, Digest> digests) {
    Digest inForceAt(ServerId server) {
        return digests.getOrDefault(server.value(), digests.getOrDefault("", Digest.NONE));
    }
}
