package medlarroute.dispatch

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

/** Responses of backend servers that an owner reads late or not at all. */
class LateResponseTest {
    private val sim = SimulatedBackends().apply {
        configure(SimulatedBackends.queue())
        add("b")
        takeOver()
        run(untilMs = 100)
    }
    private val owner = sim.owners.single()

    private fun events(name: String) = sim.events.filter { name in it }

    /**
     * Guards against the ejection of a healthy backend server. A report follows the one before within milliseconds,
     * since another run has ended, and is read after a pause.
     */
    @Test
    fun `a run does not count as hung since a report was read late`() {
        sim.workMs = { task -> if (task.job == JobId("long")) 20_000 else 8 }
        sim.submit(sim.job("long", tasks = 1, cpuMillis = 4_000, estimateMs = 20_000), timeoutMs = 60_000)
        sim.run(sim.nowMs + 600)
        sim.submit(sim.job("j", tasks = 1, cpuMillis = 4_000))
        sim.run(sim.nowMs + 6)
        sim.submit(sim.job("k", tasks = 1, cpuMillis = 4_000))
        sim.run(sim.nowMs + 7)
        owner.isFrozen = true
        sim.run(sim.nowMs + 500)
        owner.isFrozen = false
        sim.run(sim.nowMs + 200)
        sim.results.keys shouldBe setOf(JobId("j"), JobId("k"))
        events("run-hung").shouldBeEmpty()
        events("ejected").shouldBeEmpty()
    }

    /** Guards against the ejection of a healthy backend server whose connections have gone silent or were reset. */
    @Test
    fun `starts that get no response at the same time count as one failure`() {
        sim.lateByMs = { 10_000 }
        sim.submit(sim.job("j", tasks = 2))
        sim.run(sim.nowMs + 5)
        sim.lateByMs = { null }
        sim.run(sim.nowMs + 200)
        events("start-unknown").size shouldBe 2
        events("ejected").shouldBeEmpty()
        sim.run(sim.nowMs + 600)
        sim.results[JobId("j")] shouldBe JobResult.Complete
    }

    /** Guards against a backend server that answers polls but no starts, and gets one task after the other. */
    @Test
    fun `a backend server is ejected after two starts in a row without a response`() {
        sim.lateByMs = { 10_000 }
        sim.submit(sim.job("j", tasks = 1))
        sim.run(sim.nowMs + 130)
        sim.submit(sim.job("k", tasks = 1))
        sim.run(sim.nowMs + 130)
        events("ejected").size shouldBe 1
    }

    /** Guards against failures that are never counted, since starts follow each other closely. */
    @Test
    fun `a backend server that leaves a series of starts without a response is ejected`() {
        sim.lateByMs = { 10_000 }
        repeat(5) {
            sim.submit(sim.job("j$it", tasks = 1, cpuMillis = 1_000))
            sim.run(sim.nowMs + 60)
        }
        events("ejected").size shouldBe 1
    }

    /** Guards against a lease that lasts longer than intended since a report, and the clock in it, was read late. */
    @Test
    fun `a report that is read late extends no lease beyond the usual one`() {
        sim.workMs = { 5_000 }
        sim.submit(sim.job("j", tasks = 1, estimateMs = 5_000), timeoutMs = 60_000)
        sim.run(sim.nowMs + 50)
        repeat(20) {
            owner.isFrozen = true
            sim.run(sim.nowMs + 37 * it)
            owner.isFrozen = false
            repeat(50) {
                sim.run(sim.nowMs + 1)
                val leaseMs = sim.backends.getValue("b").leaseUntilMs - sim.nowMs
                leaseMs shouldBeLessThanOrEqualTo DispatchSettings().run { leaseMs + idlePollWaitMs - pollWaitMs }
            }
        }
    }
}
