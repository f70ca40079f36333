package medlarroute.dispatch

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** A result that arrives within the call that sends the command is processed after the placement pass. */
class ImmediateResultTest {
    /** Several jobs wait for one that takes all capacity, so that one pass places tasks of all of them. */
    private fun simulation() = SimulatedBackends().apply {
        configure(SimulatedBackends.queue(objectiveMs = 3_000))
        repeat(4) { add("b$it") }
        takeOver()
        run(untilMs = 100)
        submit(job("first", tasks = 4, cpuMillis = 16_000), timeoutMs = 10_000)
        repeat(JOBS) { submit(job("j$it", tasks = 4, cpuMillis = 2_000), timeoutMs = 10_000) }
    }

    private fun check(sim: SimulatedBackends, failures: Int) {
        failures shouldBeGreaterThan JOBS
        sim.nestedCalls shouldBe 0
        sim.concurrentRuns.shouldBeEmpty()
        sim.results.filterValues { it != JobResult.Complete }.entries.shouldBeEmpty()
        sim.results.size shouldBe JOBS + 1
    }

    /**
     * Guards against a pass within the loops of another one, which fails with ConcurrentModificationException and
     * overflows the stack: a write to a connection that was just reset fails within the call.
     */
    @Test
    fun `starts that fail at once are placed again after the pass`() {
        for (result in listOf(
            StartResult.Unknown("connection reset"),
            StartResult.Rejected(RejectReason.UNAVAILABLE, null),
            StartResult.Rejected(RejectReason.REFUSED, null),
        )) {
            val sim = simulation()
            var failures = 0
            sim.immediateStart = { result.takeIf { sim.nowMs < RESET_UNTIL_MS && ++failures > 0 } }
            sim.run(untilMs = 9_000)
            check(sim, failures)
        }
    }

    /** Guards against polls within the loop over the backend servers that sends the polls. */
    @Test
    fun `polls that fail at once are processed after the loop that sends them`() {
        val sim = simulation()
        var failures = 0
        val reset = PollResult.Failed("connection reset")
        sim.immediatePoll = { reset.takeIf { sim.nowMs in 200..2_500 && ++failures > 0 } }
        sim.run(untilMs = 9_000)
        check(sim, failures)
    }

    /** Guards against results that are lost, or never processed again, after one of them has failed. */
    @Test
    fun `calls that wait when one fails are carried out with the next one`() {
        val calls = SequentialCalls()
        val done = ArrayList<Int>()
        shouldThrow<IllegalStateException> {
            calls.run {
                calls.run { error("fails") }
                calls.run { done += 2 }
                done += 1
            }
        }
        done.shouldContainExactly(1)
        calls.run { done += 3 }
        done.shouldContainExactly(1, 2, 3)
    }

    private companion object {
        const val JOBS = 6
        const val RESET_UNTIL_MS = 400L
    }
}
