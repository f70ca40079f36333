package medlarroute.server

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Multi-producer, single-consumer queue whose consumer takes all items at once.
 *
 * [tryPut] rejects an item while [capacity] items are queued. [put] always accepts, for items that must not be lost;
 * its producers have to bound their number. Thread-safe; producers never wait for the consumer.
 */
internal class Inbox<T : Any>(private val capacity: Int) {
    private val lock = ReentrantLock()
    private val notEmpty = lock.newCondition()
    private var items = ArrayList<T>()

    /** Number of queued items. */
    val size: Int get() = lock.withLock { items.size }

    /** Adds [item] regardless of the capacity. */
    fun put(item: T): Unit = lock.withLock { add(item) }

    /** Adds [item] unless [capacity] items are queued; returns whether it was added. */
    fun tryPut(item: T): Boolean =
        lock.withLock {
            val fits = items.size < capacity
            if (fits) add(item)
            fits
        }

    /** Removes and returns all items in the order of their arrival. */
    fun poll(): List<T> = lock.withLock { takeAll() }

    /** As [poll], but waits up to [timeout] for an item; null waits without limit. */
    fun take(timeout: Duration?): List<T> =
        lock.withLock {
            if (items.isEmpty()) await(timeout)
            takeAll()
        }

    private fun add(item: T) {
        items.add(item)
        if (items.size == 1) notEmpty.signal()
    }

    private fun await(timeout: Duration?) {
        if (timeout == null) notEmpty.await() else notEmpty.awaitNanos(timeout.inWholeNanoseconds)
    }

    private fun takeAll(): List<T> {
        if (items.isEmpty()) return emptyList()
        val taken = items
        items = ArrayList()
        return taken
    }
}
