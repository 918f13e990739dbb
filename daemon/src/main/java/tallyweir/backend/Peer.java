package tallyweir.backend;

/** The parties that the backend itself connects to. */
public enum Peer {
    KERNEL,
    STORE
}
