package medlarroute.server

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Queue with many producers and one consumer that takes everything at once.
 *
 * New work is limited by [capacity]; what must not be lost is always accepted, so its producers bound it themselves.
 * Thread-safe; no producer waits for the consumer.
 */
internal class Inbox<T : Any>(private val capacity: Int) {
    private val lock = ReentrantLock()
    private val filled = lock.newCondition()
    private var items = ArrayList<T>()

    /** Number of items that have not been taken. */
    val size: Int get() = lock.withLock { items.size }

    /** Adds [item] whatever the number of items. */
    fun put(item: T): Unit = lock.withLock { add(item) }

    /** Adds [item] unless [capacity] items wait; returns whether it was added. */
    fun tryPut(item: T): Boolean =
        lock.withLock {
            val fits = items.size < capacity
            if (fits) add(item)
            fits
        }

    /** Takes all items in the order of their arrival; empty if there are none. */
    fun poll(): List<T> = lock.withLock { takeAll() }

    /** As [poll], but waits for an item, for [timeout] at most; null waits without limit. */
    fun take(timeout: Duration?): List<T> =
        lock.withLock {
            if (items.isEmpty()) await(timeout)
            takeAll()
        }

    private fun add(item: T) {
        items.add(item)
        if (items.size == 1) filled.signal()
    }

    private fun await(timeout: Duration?) {
        if (timeout == null) filled.await() else filled.awaitNanos(timeout.inWholeNanoseconds)
    }

    private fun takeAll(): List<T> {
        if (items.isEmpty()) return emptyList()
        val taken = items
        items = ArrayList()
        return taken
    }
}
