package tallyweir.tool.bench;

/**
 * How much a revision holds.
 *
 * @param routes entries of its {@code stores}
 * @param tenants tenants with caps; queries are drawn from as many
 */
record RevisionSize(int routes, int tenants) {
    private static final int ENTRIES_PER_HEAP_MB = 500;

    /** The heap that a process gets which holds it, MB. */
    int heapMb(int withoutRevision) {
        return withoutRevision + (routes + tenants) / ENTRIES_PER_HEAP_MB;
    }
}
