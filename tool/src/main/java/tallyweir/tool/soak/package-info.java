/**
 * A seeded soak of whole {@code serve} processes: signals, failing system calls, breaking links and bad clients, judged by what
 * callers and the kernel saw.
 */
package tallyweir.tool.soak;
