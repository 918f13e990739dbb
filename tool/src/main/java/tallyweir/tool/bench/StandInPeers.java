package tallyweir.tool.bench;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import tallyweir.stand.StandInKernel;
import tallyweir.stand.StandInStore;

/** What a server connects to, played on loopback: a kernel with fixed run times, some stores and an announce service. */
final class StandInPeers implements AutoCloseable {
    /** Calls to the store that each run makes. */
    static final int CALLS_PER_RUN = 1;

    /** Microseconds of a run before, between and after its calls. */
    static final int RUN_PART_MICROS = 2_000;

    /** Routes of one workload: 31,000 routes of 2,500 services are 12.4 of each. */
    private static final int STORES = 12;

    private static final int DATAGRAM_BYTES = 512;

    private final StandInKernel kernel;
    private final List<StandInStore> stores = new ArrayList<>();
    private final DatagramSocket announce;

    StandInPeers(long seed) throws IOException {
        kernel = new StandInKernel(null, ServerConfig.CORES, seed, random -> RUN_PART_MICROS);
        kernel.setCallsPerRun(CALLS_PER_RUN);
        for (int i = 0; i < STORES; i++) {
            stores.add(new StandInStore());
        }
        announce = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        Thread reader = new Thread(this::readReports, "stand-in announce service");
        reader.setDaemon(true);
        reader.start();
    }

    private void readReports() {
        DatagramPacket report = new DatagramPacket(new byte[DATAGRAM_BYTES], DATAGRAM_BYTES);
        try {
            while (true) {
                announce.receive(report);
            }
        } catch (IOException e) {
            return; // closed
        }
    }

    String kernelAddress() {
        return "127.0.0.1:" + kernel.port();
    }

    /** Of all stores; any of them answers every call. */
    List<String> storeAddresses() {
        return stores.stream().map(StandInStore::address).toList();
    }

    String announceAddress() {
        return "127.0.0.1:" + announce.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        kernel.close();
        for (StandInStore store : stores) {
            store.close();
        }
        announce.close();
    }
}
