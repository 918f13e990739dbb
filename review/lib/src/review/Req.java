package review;

/** One request as its client sees it. */
final class Req {
    final String job;
    final String cls;
    final byte[] body;
    final long receivedAt; // Unix ms
    final long budgetMs;
    volatile int status; // 0 until answered
    volatile byte[] answer;
    volatile long answeredAt; // Unix ms
    volatile boolean gone; // aborted, or its connection ended
    volatile boolean connectionEnded; // by the backend, without a whole answer
    volatile int answers;
    volatile int runs; // how often the kernel began it

    Req(String job, String cls, byte[] body, long receivedAt, long budgetMs) {
        this.job = job;
        this.cls = cls;
        this.body = body;
        this.receivedAt = receivedAt;
        this.budgetMs = budgetMs;
    }

    boolean over() {
        return status != 0 || gone;
    }
}
