package tallyweir.fleet.ratis;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.retry.ExponentialBackoffRetry;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.retry.RetryPolicy;
import org.apache.ratis.util.TimeDuration;

/**
 * The Raft group of a fleet, and clients of that group. The group has the voters by name and address; its id is derived from the
 * fleet's name.
 */
final class VoterGroup {
    private static final long MIN_RETRY_DELAY_MS = 50;
    private static final long MAX_RETRY_DELAY_MS = 400;
    private static final long MIN_REQUEST_TIMEOUT_MS = 100;
    private static final int REQUESTS_PER_TIMEOUT = 3;

    private VoterGroup() {}

    static RaftGroupId groupId(String fleet) {
        return RaftGroupId.valueOf(
                UUID.nameUUIDFromBytes(("tallyweir fleet " + fleet).getBytes(StandardCharsets.UTF_8)));
    }

    static RaftGroup group(String fleet, Map<String, String> voters) {
        return RaftGroup.valueOf(
                groupId(fleet),
                voters.entrySet().stream()
                        .map(voter -> RaftPeer.newBuilder()
                                .setId(voter.getKey())
                                .setAddress(voter.getValue())
                                .build())
                        .toList());
    }

    /** A client that finds the leader and retries with exponential backoff, for about {@code timeoutMs} milliseconds in all. */
    static RaftClient client(String fleet, Map<String, String> voters, long timeoutMs) {
        RetryPolicy retries = ExponentialBackoffRetry.newBuilder()
                .setBaseSleepTime(milliseconds(MIN_RETRY_DELAY_MS))
                .setMaxSleepTime(milliseconds(MAX_RETRY_DELAY_MS))
                .setMaxAttempts(
                        (int) Math.max(REQUESTS_PER_TIMEOUT, timeoutMs / MAX_RETRY_DELAY_MS + REQUESTS_PER_TIMEOUT))
                .build();
        return client(fleet, voters, timeoutMs, retries);
    }

    /** A client that sends each request once. */
    static RaftClient clientWithoutRetry(String fleet, Map<String, String> voters, long timeoutMs) {
        return client(fleet, voters, timeoutMs, RetryPolicies.noRetry());
    }

    private static RaftClient client(String fleet, Map<String, String> voters, long timeoutMs, RetryPolicy retries) {
        RaftProperties properties = new RaftProperties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(
                properties, milliseconds(Math.max(MIN_REQUEST_TIMEOUT_MS, timeoutMs / REQUESTS_PER_TIMEOUT)));
        return RaftClient.newBuilder()
                .setProperties(properties)
                .setRaftGroup(group(fleet, voters))
                .setRetryPolicy(retries)
                .build();
    }

    private static TimeDuration milliseconds(long count) {
        return TimeDuration.valueOf(count, TimeUnit.MILLISECONDS);
    }
}
