package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A timer continues after an error, or the process ends: it never stops alone. */
class GuardedTimerTest {
    private val events = ArrayList<String>()
    private val exits = ArrayList<Int>()
    private val log = EventLog { part, event, _ -> events += "$part $event" }

    /** What the timer has thrown, which stops it. JUnit itself would end on an error such as OutOfMemoryError. */
    private val thrown = ArrayList<Throwable>()

    private fun tick(failure: Throwable) {
        runCatching { guardedTimer(log, { exits += it }) { throw failure }.run() }.onFailure { thrown += it }
    }

    /** Guards against an owner that keeps its ownership but starts nothing, since an error has stopped its timer. */
    @Test
    fun `a timer continues after exceptions, stack overflows and failed assertions`() {
        tick(IllegalStateException())
        tick(StackOverflowError())
        tick(AssertionError())
        thrown.shouldBeEmpty()
        events shouldBe List(3) { "instance tick-failed" }
        exits.shouldBeEmpty()
    }

    /** Guards against a process that goes on without memory, or without classes that its timers need. */
    @Test
    fun `the process ends with a status after errors that it does not recover from`() {
        tick(OutOfMemoryError())
        tick(InternalError())
        tick(NoClassDefFoundError())
        thrown.shouldBeEmpty()
        events shouldBe List(3) { "instance fatal-error" }
        exits shouldBe List(3) { FATAL_ERROR_STATUS }
    }

    /** Guards against a process that does not end since the line about it needs memory, too. */
    @Test
    fun `the process ends although its last line can't be logged`() {
        val failingLog = EventLog { _, _, _ -> throw OutOfMemoryError() }
        runCatching { guardedTimer(failingLog, { exits += it }) { throw OutOfMemoryError() }.run() }
        exits.shouldContainExactly(FATAL_ERROR_STATUS)
    }

    /** Guards against an executor that drops the timer, which none of the other tests shows. */
    @Test
    fun `an executor calls a timer again after a stack overflow`() {
        val executor = Executors.newSingleThreadScheduledExecutor()
        var calls = 0
        val timer = guardedTimer(log, { exits += it }) {
            calls++
            throw StackOverflowError()
        }
        executor.scheduleWithFixedDelay(timer, 0, 1, TimeUnit.MILLISECONDS)
        Thread.sleep(WAIT_MS)
        executor.shutdownNow()
        executor.awaitTermination(1, TimeUnit.SECONDS)
        calls shouldBeGreaterThan 1
    }

    private companion object {
        const val WAIT_MS = 200L
    }
}
