package tallyweir.fleet.ratis;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.util.TimeDuration;

/** Who keeps a fleet's log, as all its members are told: names and addresses, the fleet being known by its name. */
final class Voters {
    private static final int TRIES_MS = 50;

    private Voters() {}

    static RaftGroupId id(String fleet) {
        return RaftGroupId.valueOf(
                UUID.nameUUIDFromBytes(("tallyweir fleet " + fleet).getBytes(StandardCharsets.UTF_8)));
    }

    static RaftGroup group(String fleet, Map<String, String> voters) {
        return RaftGroup.valueOf(
                id(fleet),
                voters.entrySet().stream()
                        .map(e -> RaftPeer.newBuilder()
                                .setId(e.getKey())
                                .setAddress(e.getValue())
                                .build())
                        .toList());
    }

    /** One that gives up after so many milliseconds. */
    static RaftClient client(String fleet, Map<String, String> voters, long giveUpMs) {
        RaftProperties p = new RaftProperties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(
                p, TimeDuration.valueOf(Math.max(100, giveUpMs / 3), java.util.concurrent.TimeUnit.MILLISECONDS));
        return RaftClient.newBuilder()
                .setProperties(p)
                .setRaftGroup(group(fleet, voters))
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                        (int) Math.max(3, giveUpMs / TRIES_MS),
                        TimeDuration.valueOf(TRIES_MS, java.util.concurrent.TimeUnit.MILLISECONDS)))
                .build();
    }
}
