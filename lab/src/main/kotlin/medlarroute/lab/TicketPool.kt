package medlarroute.lab

import java.util.concurrent.CompletableFuture

/**
 * Pool of the callers' tickets in a load run. Each caller uses up to [ticketsPerCaller] tickets in rotation; a retired
 * ticket is replaced by a new one. Thread-safe.
 *
 * @param openTicket opens a ticket for a caller at some entry instance.
 */
internal class TicketPool(
    private val ticketsPerCaller: Int,
    private val openTicket: (caller: String) -> CompletableFuture<String>,
) {
    private class PooledTicket(var ticket: CompletableFuture<String>, var lastSequence: Long = 0)

    private class Caller(var nextIndex: Int = 0, val tickets: ArrayList<PooledTicket> = ArrayList())

    private val callers = HashMap<String, Caller>()

    /** Returns the id of a new submission of [caller]. The future fails if no ticket can be opened. */
    fun nextSubmission(caller: String): CompletableFuture<String> {
        val (pooled, sequence) = synchronized(this) {
            val pooled = nextTicket(caller)
            pooled to ++pooled.lastSequence
        }
        return pooled.ticket.thenApply { "$it/$sequence" }
    }

    /** Removes the ticket of [submission] from the pool, so that no further submission uses it. */
    @Synchronized
    fun retire(caller: String, submission: String) {
        val ticket = submission.substringBeforeLast('/')
        callers[caller]?.tickets?.removeIf {
            it.ticket.isDone && it.ticket.handle { opened, _ -> opened }.join() == ticket
        }
    }

    private fun nextTicket(callerName: String): PooledTicket {
        val caller = callers.getOrPut(callerName) { Caller() }
        caller.tickets.removeIf { it.ticket.isCompletedExceptionally }
        if (caller.tickets.size < ticketsPerCaller) {
            return PooledTicket(openTicket(callerName)).also { caller.tickets.add(it) }
        }
        caller.nextIndex = (caller.nextIndex + 1) % caller.tickets.size
        return caller.tickets[caller.nextIndex]
    }
}
