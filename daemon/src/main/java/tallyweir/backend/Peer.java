package tallyweir.backend;

/** Peers that the backend opens links to. The names appear in the log. */
public enum Peer {
    KERNEL,
    STORE
}
