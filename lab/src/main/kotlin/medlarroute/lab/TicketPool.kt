package medlarroute.lab

import java.util.concurrent.CompletableFuture

/**
 * Tickets of the callers of a load run. Each caller has a fixed number of places that it uses in turn; a place gets a
 * new ticket when its ticket was retired. Thread-safe.
 *
 * @param open opens a ticket for a caller at some entry instance.
 */
internal class TicketPool(
    private val ticketsPerCaller: Int,
    private val open: (caller: String) -> CompletableFuture<String>,
) {
    private class Place(var ticket: CompletableFuture<String>, var lastSequence: Long = 0)

    private class Caller(var turn: Int = 0, val places: ArrayList<Place> = ArrayList())

    private val callers = HashMap<String, Caller>()

    /** The id of a new submission of [caller]. Fails if no ticket could be opened. */
    fun nextSubmission(caller: String): CompletableFuture<String> {
        val (place, sequence) = synchronized(this) {
            val place = nextPlace(caller)
            place to ++place.lastSequence
        }
        return place.ticket.thenApply { "$it/$sequence" }
    }

    /** Uses the ticket of [submission] for no further submission. */
    @Synchronized
    fun retire(caller: String, submission: String) {
        val ticket = submission.substringBeforeLast('/')
        callers[caller]?.places?.removeIf {
            it.ticket.isDone && it.ticket.handle { known, _ -> known }.join() == ticket
        }
    }

    private fun nextPlace(callerName: String): Place {
        val caller = callers.getOrPut(callerName) { Caller() }
        caller.places.removeIf { it.ticket.isCompletedExceptionally }
        if (caller.places.size < ticketsPerCaller) {
            return Place(open(callerName)).also { caller.places.add(it) }
        }
        caller.turn = (caller.turn + 1) % caller.places.size
        return caller.places[caller.turn]
    }
}
